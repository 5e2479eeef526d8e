set(CUMINSLIP_WARNINGS -Wall -Wextra -Wpedantic -Werror -Wshadow
                       -Wnon-virtual-dtor -Wno-missing-field-initializers)

# Defines library cuminslip_<name> from the folder's sources, and the test
# program cuminslip_<name>_tests from its tests/*_tests.cpp.
# TEST_LIBRARIES are linked to the tests only.
function(cuminslip_module NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;TEST_LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp internal/*.cpp types/*.cpp)
  set(target cuminslip_${NAME})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
    target_compile_options(${target} PRIVATE ${CUMINSLIP_WARNINGS})
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${target} ${scope} ${CMAKE_SOURCE_DIR}/src
                                                ${CMAKE_SOURCE_DIR})
  target_compile_definitions(${target} ${scope} BOOST_ALL_DYN_LINK)
  target_link_libraries(${target} ${scope} ${ARG_DEPENDS} Threads::Threads)

  file(GLOB tests CONFIGURE_DEPENDS tests/*.cpp)
  if(tests)
    add_executable(${target}_tests ${tests}
                   ${CMAKE_SOURCE_DIR}/src/base/testing/testmain.cpp)
    target_compile_options(${target}_tests PRIVATE ${CUMINSLIP_WARNINGS})
    target_compile_definitions(
      ${target}_tests PRIVATE CUMINSLIP_TEST_MODULE=${NAME}
      CUMINSLIP_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
      CUMINSLIP_BINARY_DIR="${CMAKE_BINARY_DIR}")
    target_link_libraries(${target}_tests PRIVATE ${target}
      ${ARG_TEST_LIBRARIES} Boost::unit_test_framework)
    add_test(NAME ${NAME} COMMAND ${target}_tests)
    set_tests_properties(
      ${NAME} PROPERTIES TIMEOUT 300 ENVIRONMENT
      "LSAN_OPTIONS=suppressions=${CMAKE_SOURCE_DIR}/cmake/lsan-suppressions.txt:print_suppressions=0")
  endif()
endfunction()
