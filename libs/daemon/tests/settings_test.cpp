// The way of settings from the fleet configuration and the settings file to the
// options of the engines.
#include "batch_settings.hpp"
#include "expiry_watch.hpp"
#include "host_watch.hpp"
#include "service_settings.hpp"

#include "foxtaillift/cluster/configuration_query.hpp"
#include "foxtaillift/routing/routing_table.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace foxtaillift;
using namespace foxtaillift::daemon;

namespace
{

constexpr std::int64_t wall = 1'000'000;
constexpr std::int64_t expiry = wall + 60'000;

/// One worker with the service "pay", which is the whole fleet.
formats::worker_entry make_worker(std::string const& name)
{
    formats::worker_entry entry;
    entry.worker = base::worker_id{name};
    entry.rack = base::rack_id{"r-" + name};
    entry.capacity = {16'000, 64'000, 2};
    entry.services = {base::service_id{"pay"}};
    return entry;
}

cluster::configuration_edit
make_override(std::string name, std::string subject, std::string value)
{
    return {
        .kind = cluster::edit_kind::set_override,
        .name = std::move(name),
        .subject = std::move(subject),
        .value = std::move(value),
        .expires_at_ms = expiry};
}

cluster::configuration_edit make_default(std::string name, std::string value)
{
    return {.name = std::move(name), .value = std::move(value)};
}

/// Only edits that an operator could make.
cluster::configuration_document
make_document(std::vector<cluster::configuration_edit> const& edits)
{
    cluster::configuration_document document;
    cluster::check_edits(document, edits, wall);
    document.apply({.version = 1, .edits = edits});
    return document;
}

batch::scheduler_settings batch_settings_of(
    cluster::configuration_document const& document,
    std::int64_t at = wall,
    std::vector<formats::worker_entry> const& fleet = {make_worker("w1")})
{
    return to_scheduler_settings(document, cell_of(fleet.front()), fleet, at);
}

/// Options of a service in a snapshot that was made from the document.
routing::service_options published(
    cluster::configuration_document const& document,
    std::string const& service,
    std::int64_t at = wall)
{
    routing::table_input input;
    input.cells.push_back({.cell = base::cell_id{"c1"}, .is_local = true});
    input.workers.push_back(
        {.worker = base::worker_id{"w1"},
         .cell = base::cell_id{"c1"},
         .services = {base::service_id{"pay"}, base::service_id{"web"}}});
    add_service_options(document, at, input);
    routing::routing_table table;
    table.publish(input);
    routing::snapshot_reader const snapshot{table};
    return snapshot->find_service(base::service_id{service})->options;
}

} // namespace

// Guards against a fleet that runs with other values than those that
// `foxtailctl config show` names as built in.
TEST_CASE("built-in values are the defaults of the engines")
{
    auto const built_in = [](char const* name) {
        return cluster::find_setting(name).built_in;
    };
    batch::scheduler_settings const batch_defaults;
    auto const from_empty = batch_settings_of({});
    CHECK(from_empty.other_classes == batch_defaults.other_classes);
    CHECK(from_empty.service_processors == batch_defaults.service_processors);
    CHECK(from_empty.service_memory == batch_defaults.service_memory);
    auto const& quota = from_empty.other_teams;
    CHECK(quota.processors == batch_defaults.other_teams.processors);
    CHECK(quota.memory_mb == batch_defaults.other_teams.memory_mb);
    CHECK(quota.accelerators == batch_defaults.other_teams.accelerators);

    routing::call_router_options const defaults;
    CHECK(to_policy(built_in("routing.policy")) == defaults.policy);
    CHECK(to_order(built_in("routing.order")) == defaults.queues.order);
    CHECK(
        std::stod(std::string{built_in("routing.retry_budget")}) / 100 ==
        defaults.retries.budget_share);
    auto const of_file = to_router_options({});
    CHECK(of_file.policy == defaults.policy);
    CHECK(of_file.queues.order == defaults.queues.order);
    CHECK(of_file.retries.budget_share == defaults.retries.budget_share);
    CHECK(published({}, "pay") == routing::service_options{});
    CHECK(cluster::is_in_service({}, "w1", wall));
}

// Guards against a setting that is accepted and that nothing reads: each one
// must be named by a test of its effect.
TEST_CASE("every setting of the registry has a reader")
{
    std::set<std::string_view> const read{
        "class.evictions_per_hour",
        "class.longest_wait",
        "class.throttle_floor",
        "routing.order",
        "routing.policy",
        "routing.retry_budget",
        "service.batch_reserve",
        "team.quota_accelerators",
        "team.quota_memory",
        "team.quota_processors",
        "worker.state"};
    std::set<std::string_view> known;
    for (auto const& definition : cluster::setting_definitions()) {
        known.insert(definition.name);
    }
    CHECK(known == read);
}

TEST_CASE("settings of classes reach the batch scheduler")
{
    auto const document = make_document(
        {make_default("class.evictions_per_hour", "7"),
         make_override("class.evictions_per_hour", "render", "0"),
         make_override("class.throttle_floor", "render", "60"),
         make_override("class.longest_wait", "nightly", "5000")});
    auto const settings = batch_settings_of(document);
    CHECK(
        settings.other_classes == batch::class_limits{.evictions_per_hour = 7});
    REQUIRE(settings.classes.size() == 2);
    CHECK(
        settings.classes.at("render") ==
        batch::class_limits{.evictions_per_hour = 0, .throttle_floor = 0.6});
    CHECK(
        settings.classes.at("nightly") ==
        batch::class_limits{
            .evictions_per_hour = 7, .longest_wait = base::seconds(5)});
    auto const later = batch_settings_of(document, expiry);
    CHECK(later.classes.at("render") == later.other_classes);
}

// Guards against cells that each take the quota of the whole fleet.
TEST_CASE("quotas of teams reach the batch scheduler by the cell's share")
{
    auto const document = make_document(
        {make_default("team.quota_accelerators", "8"),
         make_override("team.quota_memory", "repair", "1000"),
         make_override("team.quota_accelerators", "vision", "40")});
    auto const settings = batch_settings_of(
        document, wall, {make_worker("w1"), make_worker("w2")});
    CHECK(settings.other_teams.memory_mb == 2'000'000);
    CHECK(settings.other_teams.accelerators == 4);
    auto const& repair = settings.teams.at(base::team_id{"repair"});
    CHECK(repair.memory_mb == 500);
    CHECK(repair.accelerators == 4);
    CHECK(repair.processors == settings.other_teams.processors);
    auto const& vision = settings.teams.at(base::team_id{"vision"});
    CHECK(vision.accelerators == 20);
    CHECK(vision.memory_mb == 2'000'000);
}

TEST_CASE("settings of routing reach the snapshot that calls read")
{
    auto const document = make_document(
        {make_default("routing.order", "newest_first"),
         make_override("routing.policy", "pay", "round_robin"),
         make_override("routing.order", "pay", "fifo"),
         make_override("routing.retry_budget", "pay", "25")});
    CHECK(
        published(document, "pay") ==
        routing::service_options{
            .policy = routing::policy_kind::round_robin,
            .order = routing::service_order::fifo,
            .budget_share = 0.25});
    routing::service_options const fleet_wide{
        .order = routing::service_order::newest_first};
    CHECK(published(document, "web") == fleet_wide);
    CHECK(published(document, "pay", expiry) == fleet_wide);
}

// Guards against engines that keep an override after its expiry, until the
// change that removes it arrives.
TEST_CASE("the expiry of an override is noticed once")
{
    auto const document =
        make_document({make_override("class.throttle_floor", "render", "60")});
    expiry_watch watch;
    CHECK_FALSE(watch.check({}, wall));
    CHECK_FALSE(watch.next());
    CHECK_FALSE(watch.check(document, wall));
    CHECK(watch.next() == expiry);
    CHECK_FALSE(watch.check(document, expiry - 1));
    CHECK(watch.check(document, expiry));
    CHECK_FALSE(watch.next());
    CHECK_FALSE(watch.check(document, expiry + 1));
}

// Guards against a value of a newer version that stops the publication.
TEST_CASE("a value that this version cannot read leaves the host's setting")
{
    cluster::configuration_document document;
    document.apply(
        {.version = 1,
         .edits = {
             make_default("routing.policy", "clairvoyant"),
             make_default("routing.retry_budget", "many")}});
    CHECK(published(document, "pay") == routing::service_options{});
}
