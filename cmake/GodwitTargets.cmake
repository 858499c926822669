# godwit_library(NAME [DEPENDS target...])
#
# A library of one concern: every source below src/, public headers below
# include/godwit/NAME/. The target is godwit_NAME, with the alias
# godwit::NAME.
function(godwit_library name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS
         "${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp")
    if(sources)
        add_library(godwit_${name} STATIC ${sources})
        target_include_directories(godwit_${name}
            PUBLIC "${CMAKE_CURRENT_SOURCE_DIR}/include"
            PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}/src")
        target_link_libraries(godwit_${name} PUBLIC ${ARG_DEPENDS})
    else()
        add_library(godwit_${name} INTERFACE)
        target_include_directories(godwit_${name}
            INTERFACE "${CMAKE_CURRENT_SOURCE_DIR}/include")
        target_link_libraries(godwit_${name} INTERFACE ${ARG_DEPENDS})
    endif()
    add_library(godwit::${name} ALIAS godwit_${name})
endfunction()

# godwit_program(NAME [DEPENDS target...])
#
# A program made of every source in the current folder, put into
# <build>/bin.
function(godwit_program name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS
         "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp")
    add_executable(${name} ${sources})
    target_include_directories(${name}
        PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}")
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
    target_compile_definitions(${name}
        PRIVATE GODWIT_VERSION="${PROJECT_VERSION}")
    set_target_properties(${name} PROPERTIES
        RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
endfunction()

# godwit_test(NAME [DEPENDS target...] [TIMEOUT seconds])
#
# One CppUnit program made of tests/NAME/*.cpp, registered with ctest as
# NAME.
function(godwit_test name)
    cmake_parse_arguments(ARG "" "TIMEOUT" "DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS
         "${CMAKE_SOURCE_DIR}/tests/${name}/*.cpp")
    add_executable(test_${name} ${sources})
    target_include_directories(test_${name}
        PRIVATE "${CMAKE_SOURCE_DIR}/tests/${name}"
                "${CMAKE_SOURCE_DIR}/tests/support")
    target_compile_definitions(test_${name} PRIVATE
        GODWIT_SOURCE_FOLDER="${CMAKE_SOURCE_DIR}"
        GODWIT_PROGRAM_FOLDER="${CMAKE_BINARY_DIR}/bin")
    target_link_libraries(test_${name} PRIVATE
        ${ARG_DEPENDS} godwit_test_main)
    add_test(NAME ${name} COMMAND test_${name}
             WORKING_DIRECTORY "${CMAKE_SOURCE_DIR}")
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 120)
    endif()
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
