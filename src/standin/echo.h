// Answers whose content follows from the token of their request, so that a caller can check that an answer is its own
// and has its full length.
#ifndef GERANIUMSAIL_STANDIN_ECHO_H
#define GERANIUMSAIL_STANDIN_ECHO_H

#include <cstddef>
#include <string>
#include <string_view>

namespace Geraniumsail::Standin {

/// Identifies one request of the load program, or one child call of it.
constexpr const char *TokenField = "X-Standin-Token";
/// Length of the whole body that the upstream means to send.
constexpr const char *LengthField = "X-Standin-Length";
/// Why an upstream could not give its usual answer.
constexpr const char *FailureField = "X-Standin-Failure";

/// Bytes [offset, offset + size) of the endless text "token\ntoken\n...".
inline std::string echoPart(std::string_view token, std::size_t offset, std::size_t size)
{
    std::string line(token);
    line += '\n';
    std::string part;
    part.reserve(size + line.size());
    part.append(line, offset % line.size());
    while (part.size() < size) {
        part += line;
    }
    part.resize(size);
    return part;
}

} // namespace Geraniumsail::Standin

#endif
