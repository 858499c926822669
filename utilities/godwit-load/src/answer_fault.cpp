#include <godwit/load/answer_fault.hpp>

namespace godwit::load {

std::string_view to_string(answer_fault value) noexcept
{
    switch (value) {
    case answer_fault::none:
        return "none";
    case answer_fault::doubled:
        return "doubled";
    case answer_fault::lost:
        return "lost";
    case answer_fault::crossed:
        return "crossed";
    case answer_fault::spliced:
        return "spliced";
    case answer_fault::wrong:
        return "wrong";
    case answer_fault::cut:
        return "cut";
    case answer_fault::overrun:
        return "overrun";
    case answer_fault::twice:
        return "twice";
    case answer_fault::denied:
        return "denied";
    case answer_fault::vanished:
        return "vanished";
    }
    return "wrong";
}

} // namespace godwit::load
