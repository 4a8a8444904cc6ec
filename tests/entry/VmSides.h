#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <stdexcept>
#include <string>

namespace sycamore::soak {

// File in which the network of each entry VM (VmNetwork.cpp) reads on which side of a cut between
// VMs each VM is.
class VmSides
{
public:
  explicit VmSides(const std::string& path)
  {
    const int file = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    void* const memory = file < 0 || ftruncate(file, kSides) != 0
                           ? MAP_FAILED
                           : mmap(nullptr, kSides, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (memory == MAP_FAILED) {
      throw std::runtime_error("can't map " + path);
    }
    close(file);
    sides_ = static_cast<unsigned char*>(memory);
  }
  ~VmSides() { munmap(sides_, kSides); }
  VmSides(const VmSides&) = delete;
  VmSides& operator=(const VmSides&) = delete;

  void set(const std::string& vmAddress, unsigned char side)
  {
    sides_[std::stoul(vmAddress.substr(vmAddress.rfind('.') + 1))] = side;
  }

private:
  static constexpr std::size_t kSides = 256;

  unsigned char* sides_;
};

} // namespace sycamore::soak
