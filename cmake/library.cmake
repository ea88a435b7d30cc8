# gs_library(NAME FOLDER LIBS...): a static library of all sources of one folder (main.cpp excluded).
function(gs_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    list(FILTER sources EXCLUDE REGEX "main[a-z]*\\.cpp$")
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(${name} PUBLIC ${ARGN} Threads::Threads)
endfunction()

# gs_test(NAME LIBS...): one CppUnit program from all sources of tests/<folder of that name>.
function(gs_test name folder)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${folder}/*.cpp)
    add_executable(${name} ${CMAKE_SOURCE_DIR}/tests/testmain.cpp ${sources})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(${name} PRIVATE ${ARGN} cppunit)
    add_test(NAME ${name} COMMAND ${name})
endfunction()
