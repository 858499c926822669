#pragma once

#include <string>

namespace godwit::fakes {

/// What a stand-in's help and version texts say.
struct program_description
{
    std::string name;
    std::string purpose;
    std::string version;
};

} // namespace godwit::fakes
