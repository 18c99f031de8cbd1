#include "foxtaillift/metrics/registry.hpp"

#include "foxtaillift/base/error.hpp"

#include <cstdio>
#include <map>
#include <mutex>
#include <variant>

namespace foxtaillift::metrics
{

namespace
{

using metric = std::variant<
    std::unique_ptr<counter>,
    std::unique_ptr<gauge>,
    std::unique_ptr<summary>>;

struct family
{
    std::string help;
    std::size_t type = 0; ///< index of the alternative in `metric`
    std::map<std::string, metric, std::less<>> by_labels;
};

std::string braced(std::string_view labels)
{
    return labels.empty() ? "" : "{" + std::string{labels} + "}";
}

std::string with_quantile(std::string_view labels, char const* quantile)
{
    std::string text{labels};
    text += labels.empty() ? "" : ",";
    return text + "quantile=\"" + quantile + "\"";
}

std::string number(double value)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.6g", value);
    return buffer;
}

void write_line(
    std::string& out,
    std::string const& name,
    std::string_view labels,
    std::string const& value)
{
    out += name + braced(labels) + " " + value + "\n";
}

struct writer
{
    std::string& out;
    std::string const& name;
    std::string_view labels;

    void operator()(std::unique_ptr<counter> const& value) const
    {
        write_line(
            this->out, this->name, this->labels,
            std::to_string(value->value()));
    }
    void operator()(std::unique_ptr<gauge> const& value) const
    {
        write_line(
            this->out, this->name, this->labels,
            std::to_string(value->value()));
    }
    void operator()(std::unique_ptr<summary> const& value) const
    {
        auto const view = value->view();
        auto const quantile = [&](char const* which, double at) {
            write_line(
                this->out, this->name, with_quantile(this->labels, which),
                number(at));
        };
        quantile("0.5", view.p50);
        quantile("0.9", view.p90);
        quantile("0.99", view.p99);
        quantile("1", view.max);
        write_line(
            this->out, this->name + "_sum", this->labels, number(view.sum));
        write_line(
            this->out, this->name + "_count", this->labels,
            std::to_string(view.count));
    }
};

constexpr char const* type_names[] = {"counter", "gauge", "summary"};

} // namespace

struct registry::implementation
{
    mutable std::mutex mutex;
    std::map<std::string, family, std::less<>> families;

    template <class Metric>
    Metric& find_or_add(
        std::string_view name, std::string_view help, std::string_view labels)
    {
        std::lock_guard const lock{this->mutex};
        metric fresh{std::make_unique<Metric>()};
        auto const type = fresh.index();
        auto const [found, is_new] =
            this->families.try_emplace(std::string{name});
        if (is_new) {
            found->second.help = help;
            found->second.type = type;
        } else if (found->second.type != type) {
            throw base::error(
                base::error_code::invalid_argument,
                "metric '" + std::string{name} + "' is a " +
                    type_names[found->second.type]);
        }
        auto const place = found->second.by_labels.try_emplace(
            std::string{labels}, std::move(fresh));
        return *std::get<std::unique_ptr<Metric>>(place.first->second);
    }
};

registry::registry()
    : impl(std::make_unique<implementation>())
{}

registry::~registry() = default;

counter& registry::counter_of(
    std::string_view name, std::string_view help, std::string_view labels)
{
    return this->impl->find_or_add<counter>(name, help, labels);
}

gauge& registry::gauge_of(
    std::string_view name, std::string_view help, std::string_view labels)
{
    return this->impl->find_or_add<gauge>(name, help, labels);
}

summary& registry::summary_of(
    std::string_view name, std::string_view help, std::string_view labels)
{
    return this->impl->find_or_add<summary>(name, help, labels);
}

std::string registry::text() const
{
    std::lock_guard const lock{this->impl->mutex};
    std::string out;
    for (auto const& [name, entry] : this->impl->families) {
        out += "# HELP " + name + " " + entry.help + "\n";
        out += "# TYPE " + name + " " + type_names[entry.type] + "\n";
        for (auto const& [labels, value] : entry.by_labels) {
            std::visit(writer{out, name, labels}, value);
        }
    }
    return out;
}

} // namespace foxtaillift::metrics
