#include "foxtaillift/store/fake_table.hpp"

#include <utility>

namespace foxtaillift::store
{

namespace
{

formats::rows_result no_rows(char const* reason)
{
    formats::rows_result result;
    result.message = reason;
    return result;
}

} // namespace

fake_table::fake_table(
    virtual_time& clock, fault_options faults, std::uint32_t seed)
    : time(clock)
    , source(faults, seed)
{}

void fake_table::set_observer(commit_observer changed)
{
    this->observer = std::move(changed);
}

formats::row_version fake_table::version_of(std::string const& key) const
{
    auto const found = this->rows.find(key);
    return found != this->rows.end() && found->second.is_present
               ? found->second.version
               : 0;
}

formats::transact_result
fake_table::transact_now(formats::transaction const& transaction)
{
    formats::transact_result result;
    result.status = formats::transact_status::committed;
    for (auto const& condition : transaction.conditions) {
        auto const version = this->version_of(condition.key);
        if (version != condition.version) {
            result.status = formats::transact_status::conflict;
            result.rows.push_back({condition.key, version});
        }
    }
    if (result.status == formats::transact_status::conflict) {
        return result;
    }
    for (auto const& write : transaction.writes) {
        auto& row = this->rows[write.key];
        ++row.version;
        row.is_present = write.value.has_value();
        row.value = write.value.value_or(std::string{});
        result.rows.push_back({write.key, row.is_present ? row.version : 0});
    }
    if (this->observer) {
        this->observer(transaction, result.rows);
    }
    return result;
}

formats::row fake_table::read_now(std::string const& key) const
{
    auto const version = this->version_of(key);
    return {
        key, version, version == 0 ? std::string{} : this->rows.at(key).value};
}

formats::rows_result
fake_table::scan_now(formats::scan_request const& request) const
{
    formats::rows_result result;
    result.is_answered = true;
    auto from = this->rows.lower_bound(request.prefix);
    if (request.after >= request.prefix) {
        from = this->rows.upper_bound(request.after);
    }
    for (; from != this->rows.end() && from->first.starts_with(request.prefix);
         ++from) {
        if (!from->second.is_present) {
            continue;
        }
        if (result.rows.size() == request.limit) {
            result.has_more = true;
            break;
        }
        result.rows.push_back(
            {from->first, from->second.version, from->second.value});
    }
    return result;
}

void fake_table::async_transact(
    formats::transaction transaction, transact_callback callback)
{
    ++this->counts.transactions;
    auto const fate = this->source.draw();
    if (fate.is_refused) {
        this->time.schedule(
            fate.answer_after, [callback = std::move(callback)] {
                callback(
                    {.status = formats::transact_status::rejected,
                     .rows = {},
                     .message = "refused as overload"});
            });
        return;
    }
    if (!fate.is_applied) {
        return;
    }
    this->time.schedule(
        fate.apply_after, [this, fate, content = std::move(transaction),
                           callback = std::move(callback)] {
            auto result = this->transact_now(content);
            if (!fate.is_answered) {
                return;
            }
            this->time.schedule(
                fate.answer_after,
                [callback, answer = std::move(result)] { callback(answer); });
        });
}

void fake_table::answer_rows(
    std::function<formats::rows_result()> read, rows_callback callback)
{
    ++this->counts.reads;
    auto const fate = this->source.draw();
    if (fate.is_refused) {
        this->time.schedule(
            fate.answer_after, [callback = std::move(callback)] {
                callback(no_rows("refused as overload"));
            });
        return;
    }
    if (!fate.is_applied || !fate.is_answered) {
        return;
    }
    this->time.schedule(
        fate.apply_after,
        [this, fate, read = std::move(read), callback = std::move(callback)] {
            this->time.schedule(fate.answer_after, [callback, answer = read()] {
                callback(answer);
            });
        });
}

void fake_table::async_read(
    std::vector<std::string> keys, rows_callback callback)
{
    this->answer_rows(
        [this, keys = std::move(keys)] {
            formats::rows_result result;
            result.is_answered = true;
            for (auto const& key : keys) {
                result.rows.push_back(this->read_now(key));
            }
            return result;
        },
        std::move(callback));
}

void fake_table::async_scan(
    formats::scan_request request, rows_callback callback)
{
    this->answer_rows(
        [this, request = std::move(request)] {
            return this->scan_now(request);
        },
        std::move(callback));
}

static_assert(async_table<fake_table>);

} // namespace foxtaillift::store
