#include "foxtaillift/jobs/election.hpp"

#include "foxtaillift/base/error.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace base = foxtaillift::base;
using namespace foxtaillift::jobs;

namespace
{

constexpr base::duration quick = base::milliseconds(10);

lead_rows led_by(std::string address, std::int64_t beat)
{
    return {
        .current =
            {.token = 3,
             .host = "h",
             .address = std::move(address),
             .nonce = "n"},
        .epoch_version = 10,
        .beat_version = beat};
}

} // namespace

TEST_CASE("nobody leads at the first start: a host reads, then takes over")
{
    election voting{{}};
    CHECK(voting.next({0}) == election::step::read);
    voting.on_read({}, quick, {0});
    CHECK(voting.next({1}) == election::step::take_over);
}

TEST_CASE("a resigned leader is replaced at once")
{
    election voting{{}};
    voting.on_read(led_by("", 11), quick, {1000});
    CHECK(voting.next({1001}) == election::step::take_over);
}

// Guards against a takeover while the leader answers and writes.
TEST_CASE("a leader that answers and beats is only pinged")
{
    election voting{{}};
    voting.on_read(led_by("1.2.3.4:5", 11), quick, {0});
    for (std::int64_t now = 0; now < 20'000; now += 100) {
        auto const step = voting.next({now});
        CHECK(step != election::step::take_over);
        if (step == election::step::ping) {
            voting.on_ping(true, base::milliseconds(100), 11, {now});
        } else if (step == election::step::read) {
            voting.on_read(led_by("1.2.3.4:5", 11), quick, {now});
        }
    }
}

TEST_CASE("a silent leader whose beat stands still is replaced")
{
    election voting{{}};
    voting.on_read(led_by("1.2.3.4:5", 11), quick, {0});
    std::int64_t taken_at = -1;
    for (std::int64_t now = 0; now < 10'000 && taken_at < 0; now += 100) {
        auto const step = voting.next({now});
        if (step == election::step::ping) {
            voting.on_ping_failed({now});
        } else if (step == election::step::read) {
            voting.on_read(led_by("1.2.3.4:5", 11), quick, {now});
        } else if (step == election::step::take_over) {
            taken_at = now;
        }
    }
    CHECK(taken_at > 500);   // a live leader beats once in this time
    CHECK(taken_at <= 2500); // twice the wait for a beat, and two pings
}

// Guards against a gap of 1.6 s after the death of a leader (trouble-3 of the
// grown Rezni Oblak: replace_core), which was longer by the pause between two
// pings and by the time until the beat that a host sees first is old.
TEST_CASE("a dead leader is replaced after two pings and one patience")
{
    constexpr std::int64_t ping_time = 250;
    constexpr std::int64_t died_at = 1000;
    constexpr std::int64_t last_beat_at = 900;
    election_options const options{};
    election voting{options};
    auto rows = led_by("1.2.3.4:5", 11);
    voting.on_read(rows, quick, {0});
    std::int64_t taken_at = -1;
    for (std::int64_t now = 0; now < 10'000 && taken_at < 0; now += 5) {
        auto const step = voting.next({now});
        if (step == election::step::ping && now < died_at) {
            voting.on_ping(true, base::milliseconds(10), 10, {now});
        } else if (step == election::step::ping) {
            now += ping_time;
            voting.on_ping_failed({now});
        } else if (step == election::step::read) {
            rows.beat_age = base::milliseconds(now - last_beat_at);
            voting.on_read(rows, quick, {now});
        } else if (step == election::step::take_over) {
            taken_at = now;
        }
    }
    CHECK(taken_at - last_beat_at >= options.silent_patience.ms);
    CHECK(taken_at - died_at <= options.ping_interval.ms + 2 * ping_time);
}

// The pattern: all hosts lose power and come back a second later, at the end of
// most days. Guards against 0.7 s without a leader after that, in which hosts
// wait for a beat of which the store tells that it is old.
TEST_CASE("a leader that died before this host started is replaced at once")
{
    election voting{{}};
    auto rows = led_by("1.2.3.4:5", 11);
    rows.beat_age = base::milliseconds(1300);
    CHECK(voting.next({0}) == election::step::read);
    voting.on_read(rows, quick, {10});
    CHECK(voting.next({10}) == election::step::ping);
    SUBCASE("its host is back, without the leadership")
    {
        voting.on_ping(false, base::duration{}, 0, {12});
        CHECK(voting.next({12}) == election::step::take_over);
    }
    SUBCASE("nobody is there")
    {
        voting.on_ping_failed({12});
        CHECK(voting.next({12}) == election::step::ping);
        voting.on_ping_failed({14});
        CHECK(voting.next({14}) == election::step::take_over);
    }
    SUBCASE("it leads: the store may have been away")
    {
        voting.on_ping(true, base::milliseconds(4000), 11, {12});
        for (std::int64_t now = 12; now < 600; now += 10) {
            auto const step = voting.next({now});
            CHECK(step != election::step::take_over);
            if (step == election::step::read) {
                rows.beat_age = base::milliseconds(1300 + now);
                voting.on_read(rows, quick, {now});
            }
        }
    }
}

TEST_CASE("the beat of a leader is read back, and other texts are refused")
{
    auto const beat = decode_beat(encode(leader_beat{17, 482113}));
    CHECK(beat.sequence == 17);
    CHECK(beat.store_ms == 482113);
    for (auto const* const text : {"", "17", "17 ", " 5", "a 5", "1 2 3"}) {
        CHECK_THROWS_AS(decode_beat(text), base::error);
    }
}

// Guards against jobs that wait for 4.6 s, and miss their objective, while the
// store turns only the leader away (trouble-1 of Rezni Oblak).
TEST_CASE("a leader that cannot write is replaced unless the store is slow")
{
    constexpr std::int64_t last_beat = 12;
    auto const replaced_after = [](base::duration read_time,
                                   std::int64_t reported_beat = 0) {
        election voting{{}};
        voting.on_read(led_by("1.2.3.4:5", 11), read_time, {0});
        for (std::int64_t now = 100; now < 10'000; now += 100) {
            auto const step = voting.next({now});
            if (step == election::step::ping) {
                // Its last write was acknowledged at 1,000.
                voting.on_ping(
                    true,
                    base::milliseconds(std::max<std::int64_t>(100, now - 1000)),
                    reported_beat, {now});
            } else if (step == election::step::read) {
                voting.on_read(
                    led_by("1.2.3.4:5", last_beat), read_time, {now});
            } else if (step == election::step::take_over) {
                return now - 1000;
            }
        }
        return std::int64_t{-1};
    };
    auto const alone = replaced_after(quick);
    CHECK(alone > 1500);
    CHECK(alone <= 3000);
    CHECK(replaced_after(base::milliseconds(300)) >= 4000);
    // The leader's own word on its beat saves a second look at it (scale-2 of
    // Rezni Oblak: 3.3 s until the leader without the store was replaced).
    CHECK(replaced_after(quick, last_beat) <= 2100);
    CHECK(replaced_after(base::milliseconds(300), last_beat) >= 4000);
}

// The pattern: the store answers nobody for 4 s, then everybody (trouble-3 of
// the grown Directorate: a host of 0.12 cores took over from a sound leader of
// 0.5 cores with the first read after the outage, and 100 submissions of the
// next 3 s were left in doubt). The beat of every leader stands still then.
TEST_CASE("a leader that answers may write again after an outage of the store")
{
    constexpr std::int64_t back_at = 5000;
    auto const taken_after = [](bool is_leader_alive, std::int64_t own_size) {
        election voting{{.size = own_size}};
        auto rows = led_by("1.2.3.4:5", 11);
        rows.current.size = 500;
        voting.on_read(rows, quick, {0});
        for (std::int64_t now = 100; now < 20'000; now += 100) {
            auto const step = voting.next({now});
            if (step == election::step::ping && is_leader_alive) {
                voting.on_ping(
                    true,
                    base::milliseconds(std::max<std::int64_t>(100, now - 1000)),
                    11, {now});
            } else if (step == election::step::ping) {
                voting.on_ping_failed({now});
            } else if (step == election::step::read && now < back_at) {
                voting.on_read_failed({now});
            } else if (step == election::step::read) {
                voting.on_read(rows, quick, {now});
            } else if (step == election::step::take_over) {
                return now - back_at;
            }
        }
        return std::int64_t{-1};
    };
    auto const alive = taken_after(true, 500);
    CHECK(alive >= 700); // retries and two writes of a leader come within it
    CHECK(alive <= 1500);
    // One that died meanwhile is replaced at once, but by a large host.
    CHECK(taken_after(false, 500) <= 400);
    CHECK(taken_after(false, 120) >= 1100);
}

// Guards against a leader named by another host that is taken for a row that
// was read, and against an older leader in place of a newer one.
TEST_CASE("a leader that another host names is pinged, never replaced unread")
{
    election voting{{}};
    voting.on_read_failed({0});
    voting.on_leader_named(4, "9.9.9.9:9", {100});
    CHECK(voting.leader_address() == "9.9.9.9:9");
    voting.on_leader_named(3, "1.2.3.4:5", {200});
    CHECK(voting.leader_address() == "9.9.9.9:9");
    for (std::int64_t now = 200; now < 20'000; now += 100) {
        auto const step = voting.next({now});
        CHECK(step != election::step::take_over);
        if (step == election::step::ping) {
            voting.on_ping_failed({now});
        } else if (step == election::step::read) {
            voting.on_read_failed({now});
        }
    }
}

// Guards against a takeover from a leader that only this host cannot reach.
TEST_CASE("a silent leader that still beats stays")
{
    election voting{{}};
    voting.on_read(led_by("1.2.3.4:5", 11), quick, {0});
    std::int64_t beat = 11;
    for (std::int64_t now = 0; now < 20'000; now += 100) {
        beat += now % 500 == 0 ? 1 : 0;
        auto const step = voting.next({now});
        CHECK(step != election::step::take_over);
        if (step == election::step::ping) {
            voting.on_ping_failed({now});
        } else if (step == election::step::read) {
            voting.on_read(led_by("1.2.3.4:5", beat), quick, {now});
        }
    }
}

TEST_CASE("the row of the leader is read back, and other texts are refused")
{
    auto const row = led_by("1.2.3.4:5", 0).current;
    CHECK(decode_leadership(encode(row)).token == row.token);
    CHECK(decode_leadership(encode(row)).address == row.address);
    CHECK_THROWS_AS(decode_leadership("{}"), base::error);
    CHECK_THROWS_AS(decode_leadership("\xff"), base::error);
}

// Guards against a small host that takes over before the large ones notice a
// gap (grown Directorate: the reports of 490 workers fill its link).
TEST_CASE("a host much smaller than the last leader waits for others")
{
    auto const taken_after = [](std::int64_t own_size) {
        election voting{{.size = own_size}};
        auto resigned = led_by("", 11);
        resigned.current.size = 500;
        voting.on_read(resigned, quick, {0});
        for (std::int64_t now = 0; now < 10'000; now += 50) {
            auto const step = voting.next({now});
            if (step == election::step::take_over) {
                return now;
            }
            if (step == election::step::read) {
                voting.on_read(resigned, quick, {now});
            }
        }
        return std::int64_t{-1};
    };
    CHECK(taken_after(500) == 0);
    CHECK(taken_after(300) == 0);
    CHECK(taken_after(120) >= 1500);
    CHECK(taken_after(120) < 2500);
}
