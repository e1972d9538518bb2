#include <bergamotglade/detail/core/mechanisms.hpp>

#include <utility>

namespace bergamotglade {

Mechanisms Mechanisms::without(std::string_view name)
{
    static constexpr std::pair<std::string_view, bool Mechanisms::*> Members[] = {
        {"ledger", &Mechanisms::ledger},
        {"ownerCheck", &Mechanisms::ownerCheck},
        {"handover", &Mechanisms::handover},
        {"twoPhases", &Mechanisms::twoPhases},
        {"ledgerTravels", &Mechanisms::ledgerTravels},
        {"offerOrder", &Mechanisms::offerOrder},
        {"pauseCheck", &Mechanisms::pauseCheck},
        {"serviceCheck", &Mechanisms::serviceCheck},
        {"domainRefusal", &Mechanisms::domainRefusal},
        {"neverRevert", &Mechanisms::neverRevert},
        {"keepLastGood", &Mechanisms::keepLastGood},
        {"askPeers", &Mechanisms::askPeers},
        {"gossip", &Mechanisms::gossip},
        {"limit", &Mechanisms::limit},
        {"answerHash", &Mechanisms::answerHash},
        {"ownerRoute", &Mechanisms::ownerRoute},
    };
    Mechanisms mechanisms;
    for (const auto &[member, pointer] : Members) {
        if (member == name) {
            mechanisms.*pointer = false;
        }
    }
    return mechanisms;
}

} // namespace bergamotglade
