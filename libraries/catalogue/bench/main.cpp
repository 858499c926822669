// Measures what one change costs against the size of the catalogue, and what
// a catalogue and its checkpoint take. One line of JSON a size.

#include <godwit/catalogue/checkpoint_codec.hpp>
#include <godwit/catalogue/codec.hpp>
#include <godwit/catalogue/fold.hpp>
#include <godwit/core/random.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <malloc.h>

namespace {

using namespace godwit;
using clock_type = std::chrono::steady_clock;

constexpr std::size_t measured_changes = 5000;

std::string organisation_name(std::size_t index)
{
    return "organisation-" + std::to_string(index);
}

catalogue::change make_organisation(std::size_t index, std::uint64_t version)
{
    catalogue::organisation value;
    value.name = core::organisation_name(organisation_name(index));
    value.owner = core::operator_name("ana");
    value.default_class = core::request_class_name("interactive");
    std::string hash(64, 'a');
    const std::string digits = std::to_string(index);
    hash.replace(0, digits.size(), digits);
    value.token_hashes = {hash};
    value.limits.concurrency = 100;
    value.limits.tokens_per_second = 10'000;
    return {
        {catalogue::entry_kind::organisation, organisation_name(index)},
        version,
        catalogue::entry(value)};
}

catalogue::change make_class()
{
    catalogue::request_class value;
    value.name = core::request_class_name("interactive");
    value.owner = core::operator_name("ana");
    return {
        {catalogue::entry_kind::request_class, "interactive"},
        0,
        catalogue::entry(value)};
}

std::string record_of(std::uint64_t id, catalogue::change step)
{
    catalogue::change_set changes;
    changes.id = catalogue::change_id("change-" + std::to_string(id));
    changes.published_by = core::operator_name("ana");
    changes.changes.push_back(std::move(step));
    return catalogue::serialise_record(changes).value();
}

void append(catalogue::state_pointer& current, std::string data)
{
    const std::uint64_t offset = current->next_offset();
    auto result = catalogue::fold(current, {offset, 0, std::move(data)});
    if (result.decision.kind != catalogue::verdict_kind::accepted)
        std::abort();
    current = std::move(result.next);
}

catalogue::state_pointer build(std::size_t organisations)
{
    auto current = catalogue::state::empty();
    append(current, record_of(0, make_class()));
    for (std::size_t index = 0; index < organisations; ++index) {
        append(
            current,
            record_of(current->next_offset(), make_organisation(index, 0)));
    }
    return current;
}

double microseconds(clock_type::duration span)
{
    return std::chrono::duration<double, std::micro>(span).count();
}

std::string summary(std::vector<double> samples)
{
    std::sort(samples.begin(), samples.end());
    const auto at = [&samples](double share) {
        const double index = share * static_cast<double>(samples.size() - 1);
        return std::to_string(samples[static_cast<std::size_t>(index)]);
    };
    return "{\"median\": " + at(0.5) + ", \"p99\": " + at(0.99) +
           ", \"worst\": " + at(1) + "}";
}

// Changes of random organisations; the state grows by its tombstones and
// window only.
std::vector<double>
measure_folds(catalogue::state_pointer& current, std::size_t organisations)
{
    core::random random(1);
    std::vector<double> samples;
    for (std::size_t n = 0; n < measured_changes; ++n) {
        const std::size_t index = random.below(organisations);
        const auto found = current->find_organisation(
            core::organisation_name(organisation_name(index)));
        const auto data = record_of(
            current->next_offset(), make_organisation(index, found->version));
        const auto begin = clock_type::now();
        append(current, data);
        samples.push_back(microseconds(clock_type::now() - begin));
    }
    return samples;
}

// The way that was weighed against the persistent map: a whole copy of a
// map of shared entries for each change, without parsing or checks.
std::vector<double> measure_copies(const catalogue::state& current)
{
    std::map<std::string, std::shared_ptr<const catalogue::organisation>> map;
    current.organisations().for_each(
        [&map, &current](const std::string& key, const auto& value) {
            map[key] = current.find_organisation(value.name);
        });
    std::vector<double> samples;
    for (std::size_t n = 0; n < measured_changes / 10; ++n) {
        const auto begin = clock_type::now();
        auto copy = map;
        copy.begin()->second = nullptr;
        samples.push_back(microseconds(clock_type::now() - begin));
    }
    return samples;
}

void measure(std::size_t organisations)
{
    const std::size_t before = ::mallinfo2().uordblks;
    auto current = build(organisations);
    const std::size_t bytes = ::mallinfo2().uordblks - before;
    const auto folds = measure_folds(current, organisations);
    const auto copies = measure_copies(*current);

    const auto write_begin = clock_type::now();
    const auto records = catalogue::write_checkpoint(*current);
    const auto read_begin = clock_type::now();
    const auto restored = catalogue::read_checkpoint(records);
    const auto read_end = clock_type::now();
    if (!restored || (*restored)->hash() != current->hash())
        std::abort();
    std::size_t checkpoint_bytes = 0;
    for (const std::string& each : records)
        checkpoint_bytes += each.size();

    std::cout << "{\"organisations\": " << organisations
              << ", \"state_bytes\": " << bytes
              << ", \"fold_us\": " << summary(folds)
              << ", \"whole_copy_us\": " << summary(copies)
              << ", \"checkpoint_records\": " << records.size()
              << ", \"checkpoint_bytes\": " << checkpoint_bytes
              << ", \"checkpoint_write_us\": "
              << microseconds(read_begin - write_begin)
              << ", \"checkpoint_read_us\": "
              << microseconds(read_end - read_begin) << "}\n";
}

} // namespace

int main(int argument_count, char** arguments)
{
    const std::string_view wanted = argument_count > 1 ? arguments[1] : "";
    if (wanted == "--version") {
        std::cout << "godwit-catalogue-bench " << GODWIT_VERSION << '\n';
        return 0;
    }
    if (!wanted.empty()) {
        std::cout << "usage: godwit-catalogue-bench [--help | --version]\n"
                     "Measures folds and checkpoints of the catalogue.\n";
        return wanted == "--help" ? 0 : 2;
    }
    for (const std::size_t organisations : {10, 100, 1000, 3100})
        measure(organisations);
    return 0;
}
