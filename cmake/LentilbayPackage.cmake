# Functions that declare a package and its unit tests.
find_package(Threads REQUIRED)
if(LENTILBAY_TESTS)
  find_package(GTest REQUIRED)
endif()

# lentilbay_add_package(Name SOURCES ... DEPENDS ... LIBRARIES ...)
# declares the static library lentilbay::Name with its public headers in include/. DEPENDS lists other packages,
# LIBRARIES other targets.
function(lentilbay_add_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
  add_library(lentilbay${name} STATIC ${ARG_SOURCES})
  add_library(lentilbay::${name} ALIAS lentilbay${name})
  target_include_directories(lentilbay${name} PUBLIC
    $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:include>)
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(lentilbay${name} PUBLIC lentilbay${dependency})
  endforeach()
  target_link_libraries(lentilbay${name} PUBLIC ${ARG_LIBRARIES})
  install(TARGETS lentilbay${name} EXPORT lentilbayTargets ARCHIVE DESTINATION lib)
  install(DIRECTORY include/ DESTINATION include)
endfunction()

# lentilbay_add_unittests(Name SOURCES ... DEPENDS ... LIBRARIES ...)
# declares the test program NameTests and registers it with ctest.
function(lentilbay_add_unittests name)
  if(NOT LENTILBAY_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LIBRARIES" ${ARGN})
  add_executable(${name}Tests ${ARG_SOURCES})
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(${name}Tests PRIVATE lentilbay${dependency})
  endforeach()
  target_link_libraries(${name}Tests PRIVATE ${ARG_LIBRARIES} GTest::gmock GTest::gtest_main Threads::Threads)
  target_compile_definitions(${name}Tests PRIVATE LENTILBAY_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  add_test(NAME ${name} COMMAND ${name}Tests)
  # A fixed seed makes property tests generate the same cases in each run.
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=1")
endfunction()
