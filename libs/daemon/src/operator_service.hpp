/// The interface for `foxtailctl`: JSON over HTTP.
#pragma once

#include "call_service.hpp"
#include "cell_set.hpp"
#include "configuration_driver.hpp"
#include "context.hpp"
#include "host_watch.hpp"
#include "membership_driver.hpp"
#include "ownership_driver.hpp"
#include "peer_links.hpp"
#include "task_service.hpp"

#include "foxtaillift/transport/responder.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>

namespace foxtaillift::daemon
{

/// Parts that operators see; outlive the service.
struct operator_parts
{
    context& shared;
    call_service& calls;
    cell_set& cells;
    host_watch& hosts;
    peer_links& links;
    task_service& tasks;
    membership_driver& membership;
    ownership_driver& ownership;
    configuration_driver& configuration;
    std::function<bool()> is_ready;
};

/// Control thread only. docs/operator-interface.md is the reference.
class operator_service
{
public:
    explicit operator_service(operator_parts parts);

    void handle(
        transport::received_request const& received,
        transport::responder reply);

    /// What this host alone knows, as JSON. `target` is that of `/peer/status`
    /// with the query of the operator's request.
    [[nodiscard]] std::string own_status(std::string const& target) const;

private:
    using answer_handler = std::function<void(transport::response)>;

    /// Asks every member for its part and passes all of them to `done`.
    void gather(
        std::string const& query,
        std::function<void(nlohmann::json)> done) const;
    void show_status(answer_handler done) const;
    void show_list(
        std::string const& list,
        std::string const& query,
        answer_handler done) const;
    void explain_call(std::string const& call, answer_handler done) const;
    void show_configuration(answer_handler const& done) const;
    void show_history(answer_handler const& done) const;
    void show_versions(answer_handler const& done) const;
    void change_configuration(
        std::string const& body, answer_handler const& done) const;
    void roll_back(std::string const& body, answer_handler const& done) const;
    void handle_configuration(
        transport::received_request const& received,
        std::string const& path,
        answer_handler const& done) const;

    [[nodiscard]] nlohmann::json own_cells() const;
    [[nodiscard]] nlohmann::json own_workers() const;
    [[nodiscard]] nlohmann::json own_tasks(std::string const& query) const;
    [[nodiscard]] nlohmann::json own_teams() const;

    operator_parts parts;
};

} // namespace foxtaillift::daemon
