#include <godwit/load/answer_checker.hpp>

#include <godwit/fakes/generation_text.hpp>

#include <charconv>
#include <utility>

namespace godwit::load {

answer_checker::answer_checker(std::string prompt, std::uint64_t max_tokens)
    : prompt_(std::move(prompt)),
      length_(fakes::generation_length(prompt_, max_tokens))
{}

void answer_checker::push(std::string_view text)
{
    for (const char letter : text) {
        if (fault_ != answer_fault::none)
            return;
        partial_.push_back(letter);
        if (letter == ' ') {
            const std::string token = std::exchange(partial_, std::string());
            take_token(token);
        }
    }
    // A stray text without any space must not grow.
    constexpr std::size_t longest_token = 64;
    if (partial_.size() > longest_token)
        fault_ = answer_fault::wrong;
}

void answer_checker::finish()
{
    if (fault_ != answer_fault::none)
        return;
    if (!partial_.empty())
        fault_ = answer_fault::wrong;
    else if (next_ < length_)
        fault_ = answer_fault::cut;
}

void answer_checker::take_token(const std::string& token)
{
    if (token == fakes::token_text(prompt_, next_) && next_ < length_)
        ++next_;
    else
        fault_ = classify(token);
}

answer_fault answer_checker::classify(const std::string& token) const
{
    const std::string first = fakes::token_text(prompt_, 0);
    const auto own_mark = first.substr(0, first.find('-') + 1);
    const auto dash = token.find('-');
    std::uint64_t position = 0;
    if (token.front() != 'w' || dash == std::string::npos)
        return answer_fault::wrong;
    const char* const digits = token.data() + dash + 1;
    const char* const end = token.data() + token.size() - 1;
    const auto parsed = std::from_chars(digits, end, position);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return answer_fault::wrong;
    if (!token.starts_with(own_mark))
        return next_ == 0 ? answer_fault::crossed : answer_fault::spliced;
    if (position < next_)
        return answer_fault::doubled;
    return position >= length_ ? answer_fault::overrun : answer_fault::lost;
}

} // namespace godwit::load
