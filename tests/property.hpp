/// @file
/// Runs a RapidCheck property inside a GoogleTest test.
#pragma once

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>

namespace bergamotglade::tests {

template <typename Property>
void check(const std::string &name, Property property)
{
    EXPECT_TRUE(rc::check(name, property)) << name;
}

} // namespace bergamotglade::tests
