/// @file
/// Interface between the daemons and the adapter to a platform.
#pragma once

#include <bergamotglade/detail/net/http.hpp>
#include <bergamotglade/detail/steering/entries.hpp>
#include <bergamotglade/detail/steering/segment.hpp>

namespace bergamotglade {

/// Reads the sections newer than `since`, or all sections if `since` is zero. With `watch` the read
/// waits for a change. `done` is called once.
using ConfigurationSource =
    std::function<void(Revision since, bool watch, std::function<void(Result<ChangeBatch>)> done)>;

/// Parameters of a configuration source.
struct ConfigurationSourceSettings
{
    Endpoint store; ///< HTTP address of the configuration store
    std::uint16_t agentPort = 0; ///< UDP port at which agents receive packets, the same on all VMs
    Millis watchTime {}; ///< longest time that a watch waits for a change
};

/// Translates packets and configuration of a platform. Adapters make no steering decisions.
struct PlatformAdapter
{
    PacketCodec codec;
    /// Opens the configuration source; the HTTP client must outlive it.
    std::function<ConfigurationSource(HttpClient &, const ConfigurationSourceSettings &)>
        openConfigurationSource;
};

} // namespace bergamotglade
