# Warnings, sanitizers, and the tools that make a build fast where present.

set(GODWIT_SANITIZER "" CACHE STRING
    "Sanitizers to build with: empty, address or thread")

# Assertions stay on in a release: a state that cannot be is worth an end.
# -O3 made the build slower and set off false positives in g++ 12.
set(CMAKE_CXX_FLAGS_RELEASE "-O2")
# Boost's own are off, as in its releases: its HTTP parser asserts on what a
# peer sent, and one peer's bytes would end the process with the requests of
# all others.
add_compile_definitions(BOOST_DISABLE_ASSERTS)

add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor
                    -Werror)
# g++ 12 reports false positives of these inside the standard library
# and Boost.Asio when it inlines at -O2.
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    add_compile_options(-Wno-maybe-uninitialized -Wno-restrict
                        -Wno-free-nonheap-object)
endif()

if(GODWIT_SANITIZER STREQUAL "address")
    add_compile_options(-fsanitize=address,undefined -fno-omit-frame-pointer
                        -fno-sanitize-recover=undefined)
    add_link_options(-fsanitize=address,undefined)
elseif(GODWIT_SANITIZER STREQUAL "thread")
    add_compile_options(-fsanitize=thread -Wno-tsan)
    add_link_options(-fsanitize=thread)
elseif(NOT GODWIT_SANITIZER STREQUAL "")
    message(FATAL_ERROR
        "GODWIT_SANITIZER is '${GODWIT_SANITIZER}'; use address or thread")
endif()

find_program(GODWIT_CCACHE ccache)
if(GODWIT_CCACHE)
    set(CMAKE_CXX_COMPILER_LAUNCHER "${GODWIT_CCACHE}")
endif()
find_program(GODWIT_MOLD mold)
if(GODWIT_MOLD)
    add_link_options(-fuse-ld=mold)
endif()
