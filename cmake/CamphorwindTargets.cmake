# Helpers that declare the workspace's targets with the same options.

add_library(camphorwind-options INTERFACE)
target_compile_options(camphorwind-options INTERFACE -Wall -Wextra -Werror
  -Wpedantic -Wshadow -Wnon-virtual-dtor -Wno-missing-field-initializers)
if(CAMPHORWIND_SANITIZE)
  target_compile_options(camphorwind-options INTERFACE
    -fsanitize=${CAMPHORWIND_SANITIZE} -fno-sanitize-recover=all
    -fno-omit-frame-pointer -O1)
  target_link_options(camphorwind-options INTERFACE
    -fsanitize=${CAMPHORWIND_SANITIZE})
endif()

# camphorwind_library(NAME SOURCES ... DEPENDS ... PRIVATE_DEPENDS ...)
# Declares libs/NAME as camphorwind::NAME and installs its headers.
function(camphorwind_library NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  set(target camphorwind-${NAME})
  if(ARG_SOURCES)
    add_library(${target} STATIC ${ARG_SOURCES})
    set(scope PUBLIC)
    target_link_libraries(${target} PRIVATE
      $<BUILD_INTERFACE:camphorwind-options> ${ARG_PRIVATE_DEPENDS})
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  add_library(camphorwind::${NAME} ALIAS ${target})
  target_compile_features(${target} ${scope} cxx_std_20)
  target_include_directories(${target} ${scope}
    $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_link_libraries(${target} ${scope} ${ARG_DEPENDS})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${NAME})
  install(TARGETS ${target} EXPORT camphorwind-targets
    ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
endfunction()

# camphorwind_program(NAME SOURCES ... DEPENDS ...)
# Declares an installed program.
function(camphorwind_program NAME)
  cmake_parse_arguments(ARG "NO_INSTALL" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_compile_definitions(${NAME} PRIVATE
    CAMPHORWIND_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${NAME} PRIVATE camphorwind-options ${ARG_DEPENDS})
  set_target_properties(${NAME} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  if(NOT ARG_NO_INSTALL)
    install(TARGETS ${NAME} DESTINATION ${CMAKE_INSTALL_BINDIR})
  endif()
endfunction()

# camphorwind_test(NAME SOURCES ... DEPENDS ... [RAPIDCHECK])
# Declares a GoogleTest program; each test case becomes a CTest test.
function(camphorwind_test NAME)
  if(NOT CAMPHORWIND_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "RAPIDCHECK" "" "SOURCES;DEPENDS" ${ARGN})
  find_package(GTest REQUIRED)
  add_executable(${NAME} ${ARG_SOURCES})
  target_link_libraries(${NAME} PRIVATE camphorwind-options ${ARG_DEPENDS}
    GTest::gtest GTest::gmock GTest::gtest_main)
  if(ARG_RAPIDCHECK)
    find_package(rapidcheck REQUIRED)
    target_link_libraries(${NAME} PRIVATE rapidcheck)
  endif()
  gtest_discover_tests(${NAME} NO_PRETTY_VALUES DISCOVERY_TIMEOUT 60
    PROPERTIES TIMEOUT 300
    ENVIRONMENT "RC_PARAMS=seed=1$<SEMICOLON>noshrink=0")
endfunction()

# camphorwind_benchmark(NAME SOURCES ... DEPENDS ...)
function(camphorwind_benchmark NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  find_package(benchmark REQUIRED)
  add_executable(${NAME} ${ARG_SOURCES})
  target_link_libraries(${NAME} PRIVATE camphorwind-options ${ARG_DEPENDS}
    benchmark::benchmark_main)
  set_target_properties(${NAME} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# camphorwind_measure(NAME SOURCES ... DEPENDS ...)
# Declares the program behind `scripts/measure NAME`.
function(camphorwind_measure NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  camphorwind_program(measure-${NAME} NO_INSTALL SOURCES ${ARG_SOURCES}
    DEPENDS ${ARG_DEPENDS})
endfunction()
