find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
set(Boost_NO_WARN_NEW_VERSIONS ON)
find_package(Boost 1.81 EXACT REQUIRED COMPONENTS log log_setup json
                                                  unit_test_framework)
find_package(yaml-cpp REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED COMPONENTS core)
find_package(PkgConfig REQUIRED)
pkg_check_modules(H2O REQUIRED IMPORTED_TARGET libh2o-evloop)
pkg_check_modules(CAPNP REQUIRED IMPORTED_TARGET capnp)
pkg_check_modules(CAPNP_RPC REQUIRED IMPORTED_TARGET capnp-rpc)
pkg_check_modules(POPT REQUIRED IMPORTED_TARGET popt)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

add_library(cuminslip_h2o INTERFACE)
target_link_libraries(cuminslip_h2o INTERFACE PkgConfig::H2O OpenSSL::SSL
                                              OpenSSL::Crypto)
target_compile_definitions(cuminslip_h2o INTERFACE H2O_USE_LIBUV=0)
