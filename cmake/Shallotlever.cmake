# Helpers shared by the libraries and tests of the workspace.

set(SHALLOTLEVER_TEST_WARNINGS -Wall -Wextra -Wpedantic -Wnon-virtual-dtor)
# GoogleTest's macros name their own parameters, so -Wshadow would report every test table.
set(SHALLOTLEVER_WARNINGS ${SHALLOTLEVER_TEST_WARNINGS} -Wshadow)

# shallotlever_library(NAME SOURCES ... DEPENDS ...)
# A static library of the workspace, linked as shallotlever_NAME.
function(shallotlever_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(shallotlever_${name} STATIC ${ARG_SOURCES})
  target_include_directories(shallotlever_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src/include)
  target_link_libraries(shallotlever_${name} PUBLIC ${ARG_DEPENDS})
  target_compile_options(shallotlever_${name} PRIVATE ${SHALLOTLEVER_WARNINGS})
endfunction()

# shallotlever_program(NAME SOURCES ... DEPENDS ...)
function(shallotlever_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  target_compile_options(${name} PRIVATE ${SHALLOTLEVER_WARNINGS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# shallotlever_test(NAME LABEL unit SOURCES ... DEPENDS ... ARGS ...)
# A GoogleTest program registered as one ctest case with the given label.
function(shallotlever_test name)
  cmake_parse_arguments(ARG "" "LABEL;TIMEOUT" "SOURCES;DEPENDS;ARGS" ${ARGN})
  if(NOT ARG_LABEL)
    set(ARG_LABEL unit)
  endif()
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} GTest::gtest GTest::gmock GTest::gtest_main)
  target_compile_options(${name} PRIVATE ${SHALLOTLEVER_TEST_WARNINGS})
  add_test(NAME ${name} COMMAND ${name} ${ARG_ARGS})
  set_tests_properties(${name} PROPERTIES LABELS ${ARG_LABEL} TIMEOUT ${ARG_TIMEOUT})
endfunction()

# Tests that use RapidCheck link this target.
add_library(shallotlever_rapidcheck INTERFACE)
target_include_directories(shallotlever_rapidcheck INTERFACE ${RAPIDCHECK_INCLUDE})
target_link_libraries(shallotlever_rapidcheck INTERFACE ${RAPIDCHECK_LIBRARY})

add_library(shallotlever_docopt INTERFACE)
target_link_libraries(shallotlever_docopt INTERFACE ${DOCOPT_LIBRARY})
