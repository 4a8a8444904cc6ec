# Finds the third-party libraries, as packaged in Debian 12. Those without a suitable CMake target get an
# imported target or an interface target deps_*, so that the components need not know how they are found.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(nlohmann_json 3.11 REQUIRED)
find_package(absl REQUIRED)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

# Boost.Asio and Boost.Beast are header-only.
add_library(deps_asio INTERFACE)
target_compile_definitions(deps_asio INTERFACE BOOST_ERROR_CODE_HEADER_ONLY BOOST_ASIO_NO_DEPRECATED)
target_link_libraries(deps_asio INTERFACE Threads::Threads)

if(SYCAMORE_ENTRY_ONLY)
  return()
endif()

find_package(OpenSSL REQUIRED)
find_package(benchmark REQUIRED)
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)

add_library(deps_httplib INTERFACE)
target_link_libraries(deps_httplib INTERFACE PkgConfig::HTTPLIB OpenSSL::SSL OpenSSL::Crypto Threads::Threads)

# libcaf-dev has no CMake package.
find_path(CAF_INCLUDE_DIR caf/all.hpp REQUIRED)
find_library(CAF_CORE_LIBRARY caf_core REQUIRED)
add_library(deps_caf INTERFACE)
target_include_directories(deps_caf SYSTEM INTERFACE ${CAF_INCLUDE_DIR})
target_link_libraries(deps_caf INTERFACE ${CAF_CORE_LIBRARY} Threads::Threads)

# easylogging++ is distributed as sources; they are compiled once here. By default it also writes a log
# file, which ELPP_NO_DEFAULT_LOG_FILE prevents.
find_path(EASYLOGGING_DIR easylogging++.cc REQUIRED)
add_library(deps_easylogging STATIC ${EASYLOGGING_DIR}/easylogging++.cc)
target_include_directories(deps_easylogging SYSTEM PUBLIC ${EASYLOGGING_DIR})
target_compile_definitions(deps_easylogging PUBLIC ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE
                           ELPP_CUSTOM_COUT=std::cerr)
target_compile_options(deps_easylogging PRIVATE -w)
target_link_libraries(deps_easylogging PUBLIC Threads::Threads)

find_path(DOCTEST_INCLUDE_DIR doctest/doctest.h REQUIRED)
find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
