#define BOOST_TEST_MODULE CUMINSLIP_TEST_MODULE
#include <boost/test/unit_test.hpp>
