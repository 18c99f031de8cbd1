#include "foxtaillift/jobs/peer_message.hpp"

#include "packing.hpp"

namespace foxtaillift::jobs
{

namespace
{

using nlohmann::json;

constexpr char bytes_key[] = "v";

void add_bytes(json& object, std::string const& bytes)
{
    if (!bytes.empty()) {
        object[bytes_key] = json::binary({bytes.begin(), bytes.end()});
    }
}

std::string bytes_of(json const& object)
{
    if (!object.contains(bytes_key)) {
        return {};
    }
    auto const& bytes = object.at(bytes_key).get_binary();
    return {bytes.begin(), bytes.end()};
}

} // namespace

std::string_view to_string(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::accepted:
        return "accepted";
    case request_outcome::unknown_job:
        return "unknown_job";
    case request_outcome::refused:
        return "refused";
    case request_outcome::unknown:
        return "unknown";
    case request_outcome::cancelled:
        return "cancelled";
    case request_outcome::rejected:
        return "rejected";
    }
    return "unknown";
}

std::string encode(peer_request const& request)
{
    json object = {{"k", static_cast<int>(request.kind)}};
    add(object, "n", request.name);
    add(object, "z", request.size);
    add(object, "h", request.address);
    add(object, "f", request.failure_domain);
    add(object, "r", request.relay_size);
    add(object, "t", request.clock_ms);
    add(object, "x", request.replaces);
    add(object, "j", request.knows_rejections);
    add_bytes(object, request.value);
    return pack(object);
}

peer_request decode_peer_request(std::string_view text)
{
    return unpack(text, "a peer's request", [](json const& object) {
        peer_request request;
        request.kind = static_cast<peer_kind>(object.at("k").get<int>());
        request.name = object.value("n", std::string{});
        request.size = object.value("z", std::int64_t{0});
        request.address = object.value("h", std::string{});
        request.failure_domain = object.value("f", std::string{});
        request.relay_size = object.value("r", std::int64_t{0});
        request.clock_ms = object.value("t", std::int64_t{0});
        request.replaces = object.value("x", std::int64_t{0});
        request.knows_rejections = object.value("j", false);
        request.value = bytes_of(object);
        return request;
    });
}

std::string encode(peer_reply const& reply)
{
    json object = {{"n", reply.nonce}, {"c", reply.version}};
    add(object, "l", reply.is_leading);
    add(object, "a", reply.store_age.ms);
    add(object, "e", reply.beat_version);
    if (reply.state) {
        object["s"] = static_cast<int>(*reply.state);
    }
    if (reply.pending) {
        object["p"] = *reply.pending;
    }
    if (reply.submission) {
        object["w"] = static_cast<int>(*reply.submission);
    }
    if (reply.cancellation) {
        object["d"] = static_cast<int>(*reply.cancellation);
    }
    add(object, "y", reply.retry_after.ms);
    add(object, "x", reply.rejection_version);
    add(object, "g", reply.rejection_age.ms);
    add(object, "t", reply.leader_token);
    add(object, "b", reply.leader_address);
    add_bytes(object, reply.value);
    add(object, "m", reply.clock_ms);
    if (!reply.peers.empty()) {
        object["h"] = reply.peers;
    }
    return pack(object);
}

peer_reply decode_peer_reply(std::string_view text)
{
    return unpack(text, "a peer's reply", [](json const& object) {
        peer_reply reply;
        reply.nonce = object.at("n");
        reply.version = object.at("c");
        reply.is_leading = object.value("l", false);
        reply.store_age.ms = object.value("a", std::int64_t{0});
        reply.beat_version = object.value("e", std::int64_t{0});
        if (object.contains("s")) {
            reply.state = static_cast<job_state>(object.at("s").get<int>());
        }
        if (object.contains("p")) {
            reply.pending = object.at("p").get<std::size_t>();
        }
        if (object.contains("w")) {
            reply.submission =
                static_cast<store_status>(object.at("w").get<int>());
        }
        if (object.contains("d")) {
            reply.cancellation =
                static_cast<request_outcome>(object.at("d").get<int>());
        }
        reply.retry_after.ms = object.value("y", std::int64_t{0});
        reply.rejection_version = object.value("x", std::int64_t{0});
        reply.rejection_age.ms = object.value("g", std::int64_t{0});
        reply.leader_token = object.value("t", std::int64_t{0});
        reply.leader_address = object.value("b", std::string{});
        reply.value = bytes_of(object);
        reply.clock_ms = object.value("m", std::int64_t{0});
        reply.peers = object.value("h", std::vector<std::string>{});
        return reply;
    });
}

} // namespace foxtaillift::jobs
