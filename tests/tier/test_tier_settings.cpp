#include <fstream>
#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

#include "core/settings_table.h"
#include "tier/tier_settings.h"

using namespace snipefall;

BOOST_AUTO_TEST_SUITE(tier_settings_tests)

// Guards against a reference page in docs/ that no longer matches the settings; `snipefalld --boot FILE --reference` prints its table.
BOOST_AUTO_TEST_CASE(referencePageIsCurrent)
{
    std::ostringstream page;
    page << std::ifstream(std::string(SNIPEFALL_SOURCE_DIR) + "/docs/settings_platform.md").rdbuf();
    BOOST_TEST(page.str().ends_with("\n\n" + tier_settings::table().referencePage()));
}

BOOST_AUTO_TEST_SUITE_END()
