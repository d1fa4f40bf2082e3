#include <LibBase/Error.h>

namespace Peridot {

std::string describe(const Error &error)
{
    std::string text(errorCodeNames.nameOf(error.code));
    if (!error.field.empty())
        text += " at " + error.field;
    if (!error.detail.empty())
        text += ": " + error.detail;
    return text;
}

} // namespace Peridot
