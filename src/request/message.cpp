#include <bergamotglade/detail/request/message.hpp>

#include <algorithm>

namespace bergamotglade {

bool isIdempotent(std::string_view method) noexcept
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

std::string_view toString(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Refused:
        return "refused";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Opened:
        return "opened";
    case Outcome::InProgress:
        return "in-progress";
    }
    return "unknown";
}

std::vector<Response> splitAnswer(const Response &head, const Answer &answer,
                                  const std::vector<std::uint16_t> &wanted)
{
    const std::size_t count =
        std::max<std::size_t>(1, (answer.body.size() + PartBytes - 1) / PartBytes);
    const std::uint64_t hash = hashBytes(answer.body, answer.status);
    std::vector<Response> parts;
    for (std::size_t i = 0; i < count; ++i) {
        const auto index = static_cast<std::uint16_t>(i);
        if (!wanted.empty() && std::find(wanted.begin(), wanted.end(), index) == wanted.end()) {
            continue;
        }
        Response part = head;
        part.outcome = Outcome::Answered;
        part.status = answer.status;
        part.contentType = answer.contentType;
        part.answerHash = hash;
        part.part = index;
        part.parts = static_cast<std::uint16_t>(count);
        part.body = answer.body.substr(i * PartBytes, PartBytes);
        parts.push_back(std::move(part));
    }
    return parts;
}

} // namespace bergamotglade
