# Finds every third-party library; all come from Debian packages.
find_package(PkgConfig REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS program_options)
find_package(CURL REQUIRED)
find_package(fmt REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(spdlog REQUIRED)
pkg_check_modules(NGHTTP2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(PROMETHEUS REQUIRED IMPORTED_TARGET prometheus-cpp-core)
pkg_check_modules(SIMDJSON REQUIRED IMPORTED_TARGET simdjson)
pkg_check_modules(SODIUM REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

find_path(LIBEV_INCLUDE_DIR ev.h REQUIRED)
find_library(LIBEV_LIBRARY ev REQUIRED)
if(NOT TARGET libev::libev)
  add_library(libev::libev UNKNOWN IMPORTED)
  set_target_properties(libev::libev PROPERTIES
    IMPORTED_LOCATION "${LIBEV_LIBRARY}"
    INTERFACE_INCLUDE_DIRECTORIES "${LIBEV_INCLUDE_DIR}")
endif()

find_path(MSGPACK_INCLUDE_DIR msgpack.hpp REQUIRED)
if(NOT TARGET msgpack::msgpack)
  add_library(msgpack::msgpack INTERFACE IMPORTED)
  set_target_properties(msgpack::msgpack PROPERTIES
    INTERFACE_INCLUDE_DIRECTORIES "${MSGPACK_INCLUDE_DIR}"
    INTERFACE_COMPILE_DEFINITIONS "MSGPACK_USE_BOOST")
endif()
