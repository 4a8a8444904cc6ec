add_library(workspace_options INTERFACE)
target_compile_options(workspace_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow
                                                   -Wnon-virtual-dtor -Werror)
# At -O3, g++ 12 gives false -Wrestrict warnings about overlaps in string concatenation (GCC bug 105651).
# Only the build for the platform uses -O3.
if(SYCAMORE_ENTRY_ONLY AND CMAKE_CXX_COMPILER_ID STREQUAL "GNU" AND
   CMAKE_CXX_COMPILER_VERSION VERSION_LESS 13)
  target_compile_options(workspace_options INTERFACE -Wno-restrict)
endif()

# Adds the static library libs/NAME from src/*.cpp with the public headers in include/NAME/.
# A library without sources becomes an interface library.
function(sycamore_add_library name)
  cmake_parse_arguments(arg "" "" "LINKS;PRIVATE_LINKS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS src/*.cpp)
  if(sources)
    add_library(sycamore_${name} STATIC ${sources})
    target_include_directories(sycamore_${name} PUBLIC include PRIVATE src)
    target_link_libraries(sycamore_${name} PUBLIC ${arg_LINKS} PRIVATE ${arg_PRIVATE_LINKS} workspace_options)
  else()
    add_library(sycamore_${name} INTERFACE)
    target_include_directories(sycamore_${name} INTERFACE include)
    target_link_libraries(sycamore_${name} INTERFACE ${arg_LINKS})
  endif()
endfunction()

# Adds the test program NAME_test from tests/*.cpp and registers it with ctest.
function(sycamore_add_tests name)
  if(SYCAMORE_ENTRY_ONLY)
    return()
  endif()
  cmake_parse_arguments(arg "" "TIMEOUT;ENVIRONMENT" "LINKS;KNOWN_RED" ${ARGN})
  if(NOT arg_TIMEOUT)
    set(arg_TIMEOUT 120)
  endif()
  file(GLOB sources CONFIGURE_DEPENDS tests/*.cpp)
  add_executable(${name}_test ${sources} ${CMAKE_SOURCE_DIR}/cmake/doctest_main.cpp)
  target_include_directories(${name}_test SYSTEM PRIVATE ${DOCTEST_INCLUDE_DIR})
  target_link_libraries(${name}_test PRIVATE ${arg_LINKS} ${RAPIDCHECK_LIBRARY} workspace_options)
  if(arg_KNOWN_RED)
    # Test cases that KNOWN-RED.txt lists; scripts/test.sh leaves out exactly these. Their names have no commas.
    string(REPLACE ";" "," known_red "${arg_KNOWN_RED}")
    add_test(NAME ${name} COMMAND ${name}_test --test-case-exclude=${known_red})
    add_test(NAME ${name}_known_red COMMAND ${name}_test --test-case=${known_red})
    set_tests_properties(${name}_known_red PROPERTIES TIMEOUT ${arg_TIMEOUT} LABELS known-red)
  else()
    add_test(NAME ${name} COMMAND ${name}_test)
  endif()
  set_tests_properties(${name} PROPERTIES TIMEOUT ${arg_TIMEOUT})
  if(arg_ENVIRONMENT)
    set_tests_properties(${name} PROPERTIES ENVIRONMENT ${arg_ENVIRONMENT})
  endif()
endfunction()

# Adds the Google Benchmark program NAME_benchmark from benchmarks/*.cpp.
function(sycamore_add_benchmarks name)
  if(SYCAMORE_ENTRY_ONLY)
    return()
  endif()
  cmake_parse_arguments(arg "" "" "LINKS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS benchmarks/*.cpp)
  add_executable(${name}_benchmark ${sources})
  target_link_libraries(${name}_benchmark PRIVATE ${arg_LINKS} benchmark::benchmark benchmark::benchmark_main workspace_options)
endfunction()
