#include "foxtaillift/jobs/contact.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::jobs
{

void contact::on_contact(base::instant at)
{
    this->contact_at = std::max(this->contact_at.value_or(at), at);
}

void contact::on_peers(std::vector<std::string> peers)
{
    if (!peers.empty()) {
        this->known = std::move(peers);
    }
}

void contact::on_pinged(std::string const& address, base::instant now)
{
    this->on_contact(now);
    if (address.empty()) {
        return;
    }
    this->pinged[address] = now;
    std::erase_if(this->pinged, [&](auto const& each) {
        return now - each.second > this->options.named_for;
    });
    this->known = this->peers_for({}, now);
}

std::vector<std::string> contact::take_questions(base::instant now)
{
    if (now - this->asked_at < this->options.ask_interval) {
        return {};
    }
    this->asked_at = now;
    return this->known;
}

std::vector<std::string>
contact::peers_for(std::string_view asker, base::instant now) const
{
    std::vector<std::string> others;
    for (auto const& [address, at] : this->pinged) {
        if (address != asker && now - at <= this->options.named_for) {
            others.push_back(address);
        }
    }
    if (others.size() <= peers_named) {
        return others;
    }
    // Each asker gets other ones: those after it in the order of addresses.
    auto const next = static_cast<std::size_t>(
        std::lower_bound(others.begin(), others.end(), asker) - others.begin());
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < peers_named; ++i) {
        auto const offset = (2 * i + 1) * others.size() / (2 * peers_named);
        chosen.push_back(others[(next + offset) % others.size()]);
    }
    return chosen;
}

bool contact::is_isolated(base::instant now) const
{
    return !this->known.empty() && this->contact_at &&
           now - *this->contact_at >= this->options.isolation;
}

} // namespace foxtaillift::jobs
