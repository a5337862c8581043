#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "policy/latency_histogram.h"

using namespace snipefall;

namespace {

const std::string INVALID_BUCKET_KEYS[] = {"01", "+1", " 1", "-18446744073709551615", std::string("1\0x", 3), "", "68"};

} // namespace

BOOST_AUTO_TEST_SUITE(latency_histogram_tests)

// Guards against a peer's histogram whose total differs from the sum of its buckets, because two keys such as "1" and "01" denote the same bucket.
BOOST_DATA_TEST_CASE(rejectsNonCanonicalBucketKeys, boost::unit_test::data::make(INVALID_BUCKET_KEYS), key)
{
    BOOST_TEST(latency_histogram::fromJson({{"1", 4U}})->total() == 4U);
    BOOST_TEST(!latency_histogram::fromJson({{"1", 4U}, {key, 9U}}).hasValue());
}

BOOST_AUTO_TEST_SUITE_END()
