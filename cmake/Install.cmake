# Makes `find_package(camphorwind)` work against an installed tree.
include(CMakePackageConfigHelpers)

set(package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/camphorwind)
install(EXPORT camphorwind-targets NAMESPACE camphorwind::
  DESTINATION ${package_dir})
configure_package_config_file(cmake/camphorwind-config.cmake.in
  ${CMAKE_CURRENT_BINARY_DIR}/camphorwind-config.cmake
  INSTALL_DESTINATION ${package_dir})
write_basic_package_version_file(
  ${CMAKE_CURRENT_BINARY_DIR}/camphorwind-config-version.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES
  ${CMAKE_CURRENT_BINARY_DIR}/camphorwind-config.cmake
  ${CMAKE_CURRENT_BINARY_DIR}/camphorwind-config-version.cmake
  cmake/Dependencies.cmake
  DESTINATION ${package_dir})
