// Counts the requests that a planned stop must wait for.
#ifndef GERANIUMSAIL_NODE_INFLIGHT_H
#define GERANIUMSAIL_NODE_INFLIGHT_H

#include <cstddef>
#include <memory>
#include <utility>

namespace Geraniumsail {

class InFlight
{
public:
    /// One request, from its acceptance to the last byte of its answer.
    class Guard
    {
    public:
        explicit Guard(std::shared_ptr<std::size_t> count) : m_count(std::move(count))
        {
            ++*m_count;
        }
        Guard(Guard &&other) noexcept = default;
        Guard &operator=(Guard &&other) = delete;
        Guard(const Guard &) = delete;
        Guard &operator=(const Guard &) = delete;
        ~Guard()
        {
            if (m_count) {
                --*m_count;
            }
        }

    private:
        std::shared_ptr<std::size_t> m_count;
    };

    Guard enter()
    {
        return Guard(m_count);
    }
    std::size_t count() const
    {
        return *m_count;
    }

private:
    std::shared_ptr<std::size_t> m_count = std::make_shared<std::size_t>(0);
};

} // namespace Geraniumsail

#endif
