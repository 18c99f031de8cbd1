# Compiler settings and the functions that libraries, programs, tests and
# benchmarks are declared with.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

# none | address (AddressSanitizer and UBSan) | thread (ThreadSanitizer)
set(FOXTAILLIFT_SANITIZER "none" CACHE STRING "sanitizer of this build")

# Options structs are built with designated initialisers, and what is left out
# takes its default; GCC warns of members without a written default.
add_compile_options(
  -Wall -Wextra -Wpedantic -Wshadow -Werror -Wno-missing-field-initializers)
if(CMAKE_BUILD_TYPE STREQUAL "Release")
  # GCC 12 reports false positives in std::string and std::optional at -O3.
  add_compile_options(-Wno-restrict -Wno-maybe-uninitialized)
endif()
if(NOT FOXTAILLIFT_SANITIZER STREQUAL "none")
  # Reports of sanitizers need lines and nothing else of the debug information.
  set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1 -DNDEBUG")
endif()
if(FOXTAILLIFT_SANITIZER STREQUAL "address")
  add_compile_options(
    -fsanitize=address,undefined -fno-sanitize-recover=all
    -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
  # GCC 12 reports false positives in standard headers when it instruments.
  add_compile_options(-Wno-maybe-uninitialized -Wno-stringop-overflow)
elseif(FOXTAILLIFT_SANITIZER STREQUAL "thread")
  # Optimised for the warnings that need it in the other builds only.
  set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O1 -g1 -DNDEBUG")
  # Asio uses fences, which ThreadSanitizer does not model; it warns of that
  # at compile time.
  add_compile_options(-fsanitize=thread -Wno-tsan)
  add_link_options(-fsanitize=thread)
elseif(NOT FOXTAILLIFT_SANITIZER STREQUAL "none")
  message(FATAL_ERROR
    "FOXTAILLIFT_SANITIZER is '${FOXTAILLIFT_SANITIZER}'; "
    "allowed: none, address, thread")
endif()

find_package(Threads REQUIRED)

# foxtaillift_library(<name> SOURCES ... DEPENDS ...)
# Declares the library foxtaillift_<name> of libs/<name>.
function(foxtaillift_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(foxtaillift_${name} STATIC ${ARG_SOURCES})
  target_include_directories(foxtaillift_${name}
    PUBLIC include PRIVATE src)
  target_link_libraries(foxtaillift_${name}
    PUBLIC ${ARG_DEPENDS} Threads::Threads)
endfunction()

# foxtaillift_program(<name> SOURCES ... DEPENDS ...)
function(foxtaillift_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# Builds what runs under ThreadSanitizer.
add_custom_target(thread_tests)

# foxtaillift_test(<name> SOURCES ... DEPENDS ... [LABELS ...] [TIMEOUT s]
#                  [SHARDS n CASES_IN_SHARD k] [PROCESSORS n] [ALONE])
# One doctest program; LABELS "threads" selects it for ThreadSanitizer and
# "processes" marks tests that start the programs. With SHARDS it is n tests
# that can run side by side, of k cases each; the last one takes all that are
# left. PROCESSORS: how many it counts for among the tests that run at once.
# ALONE: no other test runs beside it.
function(foxtaillift_test name)
  cmake_parse_arguments(ARG "ALONE" "TIMEOUT;SHARDS;CASES_IN_SHARD;PROCESSORS"
    "SOURCES;DEPENDS;LABELS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  target_compile_definitions(${name} PRIVATE
    FOXTAILLIFT_BINARY_DIR="${CMAKE_BINARY_DIR}/bin"
    FOXTAILLIFT_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  if("threads" IN_LIST ARG_LABELS)
    add_dependencies(thread_tests ${name})
  endif()
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  if(NOT ARG_PROCESSORS)
    set(ARG_PROCESSORS 1)
  endif()
  set(tests ${name})
  if(ARG_SHARDS)
    set(tests)
    foreach(shard RANGE 1 ${ARG_SHARDS})
      math(EXPR first "(${shard} - 1) * ${ARG_CASES_IN_SHARD} + 1")
      math(EXPR last "${shard} * ${ARG_CASES_IN_SHARD}")
      set(range --first=${first})
      if(shard LESS ARG_SHARDS)
        list(APPEND range --last=${last})
      endif()
      add_test(NAME ${name}_${shard} COMMAND ${name} ${range})
      list(APPEND tests ${name}_${shard})
    endforeach()
  else()
    add_test(NAME ${name} COMMAND ${name})
  endif()
  set_tests_properties(${tests} PROPERTIES
    TIMEOUT ${ARG_TIMEOUT} LABELS "${ARG_LABELS}" PROCESSORS ${ARG_PROCESSORS}
    # Those that wait for others to end start first.
    COST ${ARG_PROCESSORS})
  if(ARG_ALONE)
    set_tests_properties(${tests} PROPERTIES RUN_SERIAL TRUE)
  endif()
endfunction()

# foxtaillift_benchmark(<name> SOURCES ... DEPENDS ...)
function(foxtaillift_benchmark name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/benchmarks)
endfunction()
