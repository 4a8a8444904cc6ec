// Network of an entry VM in a run with many VMs on one machine, preloaded into its process:
// connections come from the VM's own address, and datagrams between VMs on different sides of a cut
// are dropped. The run writes the side of each VM, by the last byte of its address, to a file that
// the environment names.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>

namespace {

constexpr std::size_t kSides = 256;

std::atomic<in_addr_t> ownAddress{ 0 };

template<typename Function>
Function* next(const char* name)
{
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

const volatile unsigned char* sides()
{
  static const volatile unsigned char* const mapped = [] {
    const char* const path = std::getenv("OWNERSHIP_RUN_SIDES");
    const int file = path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    void* const memory =
      file < 0 ? MAP_FAILED : mmap(nullptr, kSides, PROT_READ, MAP_SHARED, file, 0);
    return memory == MAP_FAILED ? nullptr : static_cast<const volatile unsigned char*>(memory);
  }();
  return mapped;
}

const sockaddr_in* ipv4(const sockaddr* address)
{
  return address != nullptr && address->sa_family == AF_INET
           ? reinterpret_cast<const sockaddr_in*>(address)
           : nullptr;
}

bool isCutFrom(const sockaddr_in& address)
{
  const in_addr_t own = ownAddress;
  return own != 0 && sides() != nullptr &&
         sides()[ntohl(own) & 0xff] != sides()[ntohl(address.sin_addr.s_addr) & 0xff];
}

} // namespace

extern "C"
{

  int bind(int socket, const sockaddr* address, socklen_t size)
  {
    static auto* const real = next<decltype(bind)>("bind");
    if (const sockaddr_in* const named = ipv4(address); named != nullptr) {
      ownAddress = named->sin_addr.s_addr;
    }
    return real(socket, address, size);
  }

  int connect(int socket, const sockaddr* address, socklen_t size)
  {
    static auto* const real = next<decltype(connect)>("connect");
    static auto* const realBind = next<decltype(bind)>("bind");
    if (ipv4(address) != nullptr && ownAddress != 0) {
      sockaddr_in own{};
      own.sin_family = AF_INET;
      own.sin_addr.s_addr = ownAddress;
      const int on = 1;
      setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
      realBind(socket, reinterpret_cast<const sockaddr*>(&own), sizeof own);
    }
    return real(socket, address, size);
  }

  ssize_t sendto(int socket,
                 const void* bytes,
                 std::size_t size,
                 int flags,
                 const sockaddr* address,
                 socklen_t addressSize)
  {
    static auto* const real = next<decltype(sendto)>("sendto");
    const sockaddr_in* const to = ipv4(address);
    return to != nullptr && isCutFrom(*to) ? static_cast<ssize_t>(size)
                                           : real(socket, bytes, size, flags, address, addressSize);
  }

  ssize_t sendmsg(int socket, const msghdr* message, int flags)
  {
    static auto* const real = next<decltype(sendmsg)>("sendmsg");
    const sockaddr_in* const to = ipv4(static_cast<const sockaddr*>(message->msg_name));
    if (to == nullptr || !isCutFrom(*to)) {
      return real(socket, message, flags);
    }
    std::size_t size = 0;
    for (std::size_t i = 0; i < message->msg_iovlen; ++i) {
      size += message->msg_iov[i].iov_len;
    }
    return static_cast<ssize_t>(size);
  }
}
