// Tests of lookup by name.
#include "lentilbay/Model/Configuration.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

TEST(Configuration, FindsElementsByName)
{
    Configuration configuration;
    configuration.tiers.push_back({ .name = TierId("gold"), .rank = 0 });
    ASSERT_NE(findTier(configuration, TierId("gold")), nullptr);
    EXPECT_EQ(findTier(configuration, TierId("lead")), nullptr);
    EXPECT_EQ(findService(configuration, ServiceId("gold")), nullptr);
}

} // namespace
} // namespace lentilbay
