#include <godwit/settings/early_exit.hpp>

#include <iostream>
#include <utility>

namespace godwit::settings {

early_exit::early_exit(exit_code code, std::string text)
    : code_(code), text_(std::move(text))
{}

int early_exit::report() const
{
    if (code_ == exit_code::success)
        std::cout << text_ << std::endl;
    else
        std::cerr << text_ << std::endl;
    return static_cast<int>(code_);
}

} // namespace godwit::settings
