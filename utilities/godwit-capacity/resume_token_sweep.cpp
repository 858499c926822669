#include "resume_token_sweep.hpp"

#include "processor_clock.hpp"
#include "report.hpp"

#include <godwit/request/token_keyring.hpp>

#include <cstdlib>
#include <string>

namespace godwit::capacity {

void run_resume_token_sweep()
{
    constexpr std::size_t secret_bytes = 32;
    const auto keys = request::token_keyring::create(
        {{"k1", std::string(secret_bytes, 's')}});
    request::resume_token token{
        core::organisation_name("organisation-1500"),
        core::service_name("model-15"),
        {core::server_address("10.1.2.3:8000"),
         core::generation_id("0123456789abcdef0123456789abcdef"),
         0},
        1'800'000'000,
        "10.1.9.9:8100"};
    for (const std::size_t count : {2'500, 5'000, 10'000, 20'000}) {
        const double begin = processor_microseconds();
        for (token.position.offset = 0; token.position.offset < count;
             ++token.position.offset) {
            if (!keys->seal(token))
                std::abort();
        }
        report_point(
            "resume_token_us", count, processor_microseconds() - begin);
    }
}

} // namespace godwit::capacity
