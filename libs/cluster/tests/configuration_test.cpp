#include "foxtaillift/base/error.hpp"
#include "simulation.hpp"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

namespace base = foxtaillift::base;
namespace cluster = foxtaillift::cluster;
using cluster::tests::simulated_host;
using cluster::tests::simulation;
using cluster::tests::simulation_options;

namespace
{

simulation_options peers_only(std::uint32_t seed, std::size_t hosts)
{
    return {
        .seed = seed, .hosts = hosts, .has_cells = false, .has_peers = true};
}

void check_no_violation(simulation const& world)
{
    for (auto const& text : world.violations) {
        FAIL_CHECK(text);
    }
}

std::string quota_at(simulated_host const& host)
{
    return cluster::effective_text(
        host.fleet.document(), "team.quota_processors", "", 0);
}

cluster::configuration_edit
override_of(std::string name, std::string subject, std::string value)
{
    cluster::configuration_edit edit;
    edit.kind = cluster::edit_kind::set_override;
    edit.name = std::move(name);
    edit.subject = std::move(subject);
    edit.value = std::move(value);
    edit.has_no_expiry = true;
    return edit;
}

std::string refusal(std::vector<cluster::configuration_edit> const& edits)
{
    try {
        cluster::check_edits({}, edits, 1000);
    } catch (base::error const& failure) {
        return failure.what();
    }
    return {};
}

// An accepted change, so that tests can build documents.
cluster::configuration_document
changed(std::vector<cluster::configuration_edit> edits)
{
    cluster::configuration_document document;
    cluster::configuration_delta delta;
    delta.version = 1;
    delta.edits = std::move(edits);
    document.apply(delta);
    return document;
}

} // namespace

// Guards against the loss of the second change, or of the first, and against a
// loser who is not told what changed.
TEST_CASE("of two racing operators one wins and the other gets the diff")
{
    simulation world{peers_only(1, 5)};
    world.run_for(base::seconds(10));
    auto& first = *world.hosts[0];
    auto& second = *world.hosts[3];
    auto const a = first.change(0, "ann", 111);
    auto const b = second.change(0, "bob", 222);
    world.run_for(base::seconds(5));
    REQUIRE(first.answers.contains(a));
    REQUIRE(second.answers.contains(b));
    auto const& one = first.answers.at(a);
    auto const& other = second.answers.at(b);
    auto const& winner =
        one.result == cluster::change_result::accepted ? one : other;
    auto const& loser = &winner == &one ? other : one;
    CHECK(winner.result == cluster::change_result::accepted);
    CHECK_FALSE(winner.acknowledged.empty());
    REQUIRE(loser.result == cluster::change_result::outdated);
    REQUIRE(loser.changes.size() == 1);
    CHECK(loser.changes[0].author == (&winner == &one ? "ann" : "bob"));
    REQUIRE(loser.differences.size() == 1);
    CHECK(
        loser.differences[0] ==
        std::string{"team.quota_processors: (built-in) -> "} +
            (&winner == &one ? "111" : "222"));
    for (auto const& host : world.hosts) {
        CHECK(host->fleet.document().version() == 1);
    }
    CHECK(first.fleet.versions().size() == 5);
    check_no_violation(world);
}

// Guards against misspelt names and values that take effect silently.
TEST_CASE("edits that name unknown settings or values are refused")
{
    CHECK(
        refusal({override_of("routing.polcy", "s", "random")})
            .find("similar one is 'routing.policy'") != std::string::npos);
    CHECK(
        refusal({override_of("routing.policy", "s", "best")})
            .find("two_choices") != std::string::npos);
    CHECK_FALSE(refusal({override_of("retry", "s", "1")}).empty());
    CHECK_FALSE(
        refusal({override_of("routing.retry_budget", "s", "101")}).empty());
    CHECK_FALSE(
        refusal({override_of("routing.retry_budget", "", "10")}).empty());
    auto undecided = override_of("routing.retry_budget", "s", "10");
    CHECK(refusal({undecided}).empty());
    undecided.has_no_expiry = false;
    CHECK_FALSE(refusal({undecided}).empty());
    undecided.expires_at_ms = 999;
    CHECK_FALSE(refusal({undecided}).empty());
}

// Guards against a drained fleet.
TEST_CASE("a change that leaves no worker for a service is refused")
{
    simulation world{peers_only(2, 3)};
    world.run_for(base::seconds(5));
    cluster::fleet_changed fleet;
    for (auto const* name : {"w1", "w2"}) {
        foxtaillift::formats::worker_entry worker;
        worker.worker = base::worker_id{name};
        worker.capacity = {32000, 125000, 0};
        worker.services.emplace_back("cut");
        fleet.fleet.workers.push_back(worker);
    }
    fleet.fleet.needs = {{"service cut", "cut", {}}};
    auto& host = *world.hosts[0];
    host.drive_configuration(fleet);
    cluster::change_requested change;
    change.author = "ann";
    change.reason = "repair";
    change.edits = {override_of("worker.state", "w1", "drained")};
    change.request = 100;
    host.drive_configuration(change);
    world.run_for(base::seconds(2));
    CHECK(host.answers.at(100).result == cluster::change_result::accepted);
    change.edits = {override_of("worker.state", "w2", "drained")};
    change.request = 101;
    change.expected = 1;
    host.drive_configuration(change);
    REQUIRE(host.answers.contains(101));
    auto const& answer = host.answers.at(101);
    CHECK(answer.result == cluster::change_result::refused);
    CHECK(
        answer.messages.at(0) ==
        "this would leave no worker able to run service cut");
}

// Guards against an override that outlives its expiry.
TEST_CASE("an expired override has no effect and is removed later")
{
    simulation world{peers_only(3, 3)};
    world.run_for(base::seconds(5));
    auto& host = *world.hosts[1];
    cluster::change_requested change;
    change.request = 100;
    change.author = "ann";
    change.reason = "test";
    auto edit = override_of("worker.state", "w1", "drained");
    edit.has_no_expiry = false;
    edit.expires_at_ms = 1'700'000'000'000 + 20'000;
    change.edits = {edit};
    host.drive_configuration(change);
    world.run_for(base::seconds(2));
    auto const& document = host.fleet.document();
    CHECK_FALSE(
        cluster::is_in_service(document, "w1", *edit.expires_at_ms - 1));
    CHECK(cluster::is_in_service(document, "w1", *edit.expires_at_ms));
    world.run_for(base::seconds(120));
    for (auto const& each : world.hosts) {
        CHECK(each->fleet.document().overrides().empty());
        CHECK(each->fleet.history().back().reason == "expired");
    }
}

// Guards against a roll-back that reuses a version or misses a setting.
TEST_CASE("a roll-back is a new version with the old content")
{
    simulation world{peers_only(4, 3)};
    world.run_for(base::seconds(5));
    auto& host = *world.hosts[0];
    for (std::uint64_t i = 0; i < 5; ++i) {
        host.change(i, "ann", static_cast<std::int64_t>(100 + i));
        world.run_for(base::seconds(1));
    }
    host.drive_configuration(cluster::rollback_requested{
        .request = 100,
        .expected = 5,
        .target = 2,
        .author = "bob",
        .reason = "too much"});
    world.run_for(base::seconds(1));
    CHECK(host.answers.at(100).version == 6);
    for (auto const& each : world.hosts) {
        CHECK(each->fleet.document().version() == 6);
        CHECK(quota_at(*each) == "101");
    }
    host.drive_configuration(cluster::rollback_requested{
        .request = 101,
        .expected = 6,
        .target = 99,
        .author = "bob",
        .reason = "typing error"});
    CHECK(host.answers.at(101).result == cluster::change_result::refused);
}

// Guards against a fresh host that starts from nothing because old changes were
// deleted, and against rows that are never deleted.
TEST_CASE("a fresh host reads the snapshot and the changes after it")
{
    simulation world{peers_only(5, 3)};
    world.run_for(base::seconds(5));
    auto& host = *world.hosts[0];
    for (std::uint64_t i = 0; i < 90; ++i) {
        host.change(i, "ann", static_cast<std::int64_t>(i));
        world.run_for(base::milliseconds(300));
    }
    REQUIRE(host.fleet.document().version() == 90);
    CHECK(world.table.read_now("config/change/000000000048").version == 0);
    auto& fresh = world.add_host("h3");
    world.cut_links = {
        {fresh.id, base::host_id{"h0"}},
        {fresh.id, base::host_id{"h1"}},
        {fresh.id, base::host_id{"h2"}}};
    fresh.start();
    world.run_for(base::seconds(2));
    CHECK(fresh.fleet.is_ready());
    CHECK(fresh.fleet.document() == host.fleet.document());
    check_no_violation(world);
}

// Guards against a host that starts without the store and uses the version of
// one peer although another one has a higher version.
TEST_CASE("without the store a fresh host waits for all live peers")
{
    simulation world{peers_only(6, 4)};
    world.run_for(base::seconds(5));
    world.hosts[0]->change(0, "ann", 7);
    world.run_for(base::seconds(2));
    world.table.faults().set_down(true);
    world.objects.faults().set_down(true);
    auto& fresh = world.add_host("h4");
    fresh.start();
    auto const link = std::pair{fresh.id, base::host_id{"h2"}};
    world.cut_links = {link};
    world.run_for(base::seconds(20));
    CHECK_FALSE(fresh.fleet.is_ready());
    world.cut_links.clear();
    world.run_for(base::seconds(10));
    CHECK(fresh.fleet.is_ready());
    CHECK(fresh.fleet.document() == world.hosts[0]->fleet.document());
    // A change needs the store.
    auto const request = fresh.change(1, "ann", 8);
    world.run_for(base::seconds(5));
    CHECK(
        fresh.answers.at(request).result ==
        cluster::change_result::unavailable);
    world.table.faults().set_down(false);
    world.run_for(base::seconds(20));
    CHECK(fresh.fleet.document().version() == 1);
    check_no_violation(world);
}

// Guards against an operator who is told "no effect" although the change takes
// effect later, and against changes that wait unanswered behind it.
TEST_CASE("a change whose outcome stays unknown is answered as undecided")
{
    simulation world{peers_only(7, 3)};
    world.run_for(base::seconds(5));
    auto& host = *world.hosts[0];
    // The committer must know its operation row, or it only reads.
    host.change(0, "ann", 6);
    world.run_for(base::seconds(2));
    REQUIRE(host.fleet.document().version() == 1);
    world.table.faults().set_options({.lose_answer = 1.0});
    auto const first = host.change(1, "ann", 7);
    world.run_for(base::milliseconds(100));
    world.table.faults().set_down(true);
    auto const second = host.change(1, "bob", 8);
    world.run_for(base::seconds(10));
    REQUIRE(host.answers.contains(first));
    REQUIRE(host.answers.contains(second));
    CHECK(host.answers.at(first).result == cluster::change_result::undecided);
    CHECK(
        host.answers.at(second).result == cluster::change_result::unavailable);
    world.table.faults().set_options({});
    world.table.faults().set_down(false);
    world.run_for(base::seconds(20));
    for (auto const& each : world.hosts) {
        CHECK(each->fleet.document().version() == 2);
        CHECK(quota_at(*each) == "7");
    }
    check_no_violation(world);
}

// Guards against a lost setting in stored or sent texts.
TEST_CASE("documents and changes survive their codecs")
{
    auto const document = changed(
        {override_of("worker.state", "w \"1\"", "drained"),
         override_of("routing.policy", "s", "random")});
    auto const copy =
        cluster::configuration_document::from_text(document.to_text());
    CHECK(copy == document);
    CHECK_THROWS_AS(
        cluster::configuration_document::from_text("{}"), base::error);
    CHECK_THROWS_AS(
        cluster::decode<cluster::configuration_push>("\x01"), base::error);
}

// Guards against a built-in value that wins over the settings file of a host,
// and against a value of a newer version that is taken as it stands.
TEST_CASE("the document tells its own values from built-in ones")
{
    auto edit = override_of("routing.policy", "pay", "random");
    edit.has_no_expiry = false;
    edit.expires_at_ms = 2'000;
    auto later = override_of("routing.policy", "web", "round_robin");
    later.has_no_expiry = false;
    later.expires_at_ms = 3'000;
    auto const document = changed(
        {edit,
         later,
         override_of("routing.order", "pay", "sideways"),
         {.name = "routing.retry_budget", .value = "30"}});
    auto const find = [&](char const* name, char const* subject,
                          std::int64_t wall = 1'000) {
        return cluster::configured_text(document, name, subject, wall)
            .value_or("nothing");
    };
    CHECK(find("routing.policy", "pay") == "random");
    CHECK(find("routing.policy", "pay", 2'000) == "nothing");
    CHECK(find("routing.policy", "other") == "nothing");
    CHECK(find("routing.order", "pay") == "nothing");
    CHECK(find("routing.retry_budget", "pay") == "30");
    CHECK(
        cluster::subjects_of(document, "routing.policy") ==
        std::vector<std::string>{"pay", "web"});
    CHECK(cluster::subjects_of(document, "routing.retry_budget").empty());
    CHECK(cluster::next_expiry(document, 1'000) == 2'000);
    CHECK(cluster::next_expiry(document, 2'000) == 3'000);
    CHECK_FALSE(cluster::next_expiry(document, 3'000));
}
