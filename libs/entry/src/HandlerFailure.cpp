#include <entry/HandlerFailure.h>

#include <entry/HandlerScope.h>

#include <cstdlib>
#include <cxxabi.h>
#include <exception>
#include <memory>
#include <typeinfo>

namespace sycamore::entry {

namespace {

// Returns the name of the class of the exception that is being handled.
std::string currentExceptionType()
{
  const std::type_info* const type = abi::__cxa_current_exception_type();
  if (type == nullptr) {
    return "none";
  }
  int status = 0;
  const std::unique_ptr<char, decltype(&std::free)> name(
    abi::__cxa_demangle(type->name(), nullptr, nullptr, &status), &std::free);
  return name ? name.get() : type->name();
}

} // namespace

HandlerFailure currentFailure()
{
  HandlerFailure failure{ HandlerScope::current(), currentExceptionType(), "" };
  if (const std::exception_ptr current = std::current_exception()) {
    try {
      std::rethrow_exception(current);
    } catch (const std::exception& error) {
      failure.message = error.what();
    } catch (...) {
      failure.message.clear();
    }
  }
  return failure;
}

nlohmann::json toJson(const HandlerFailure& failure)
{
  return { { "handler", failure.handler }, { "type", failure.type }, { "error", failure.message } };
}

} // namespace sycamore::entry
