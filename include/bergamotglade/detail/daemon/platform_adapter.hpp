/// @file
/// What an adapter to a platform supplies to the daemons.
#pragma once

#include <bergamotglade/detail/net/http.hpp>
#include <bergamotglade/detail/steering/entries.hpp>
#include <bergamotglade/detail/steering/segment.hpp>

namespace bergamotglade {

/// Reads sections newer than a revision, or all of them at revision zero; a watch waits for a
/// change. The callback is called once.
using ConfigurationSource =
    std::function<void(Revision since, bool watch, std::function<void(Result<ChangeBatch>)> done)>;

/// Where and how an adapter reads the configuration.
struct SourceSettings
{
    Endpoint store;
    std::uint16_t agentPort = 0; ///< at which agents take packets, the same on all VMs
    Millis watchTime {}; ///< longest wait of a watch
};

/// Translates between a platform and the product; decides nothing.
struct PlatformAdapter
{
    PacketCodec packets;
    /// Opens the configuration source; the client outlives it.
    std::function<ConfigurationSource(HttpClient &, const SourceSettings &)> openSource;
};

} // namespace bergamotglade
