#include "claims_sweep.hpp"

#include "heap_size.hpp"
#include "processor_clock.hpp"
#include "report.hpp"

#include <godwit/claims/ledger.hpp>
#include <godwit/claims/record.hpp>

#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

namespace godwit::capacity {

namespace {

// At the size of the capacity page a batch of one zone carries a few claims.
constexpr std::size_t claims_in_record = 8;
constexpr std::size_t entry_hosts = 410;

claims::record_entry make_claim(std::uint64_t number)
{
    const core::organisation_name organisation(
        "organisation-" + std::to_string(number % 3100));
    const core::idempotency_key key("booking-" + std::to_string(number));
    const std::string host = std::to_string(number % entry_hosts);
    return claims::claim_entry{
        claims::claim_key::create(organisation, key).value(),
        claims::request_fingerprint::of(
            "POST", "/v1/services/register/entries", key.value()),
        {core::host_name("entry-" + host),
         core::incarnation_id("0123456789abcdef" + host),
         "10.0.0.1:8100"},
        {1, number}};
}

std::vector<claims::log_record> make_records(std::size_t claim_count)
{
    std::vector<claims::log_record> records;
    for (std::uint64_t number = 0; number < claim_count;) {
        std::vector<claims::record_entry> entries;
        for (std::size_t each = 0; each < claims_in_record; ++each)
            entries.push_back(make_claim(number++));
        const std::uint64_t offset = records.size();
        records.push_back(
            {offset,
             claims::log_time(1000 + offset),
             claims::encode_record(entries).value()});
    }
    return records;
}

} // namespace

void run_claims_sweep()
{
    for (const std::size_t count : {20'000, 40'000, 80'000, 160'000}) {
        const auto records = make_records(count);
        std::size_t bytes = 0;
        for (const auto& each : records)
            bytes += each.data.size();
        const double heap_before = heap_bytes();
        auto ledger = claims::ledger::create({}).value();
        const double begin = processor_microseconds();
        static_cast<void>(ledger.fold(0, records, records.back().time));
        const double used = processor_microseconds() - begin;
        if (ledger.size() != count)
            std::abort();
        report_point("claims_fold_us", count, used);
        report_point("claims_memory_bytes", count, heap_bytes() - heap_before);
        report_point("claims_record_bytes", count, static_cast<double>(bytes));
    }
}

} // namespace godwit::capacity
