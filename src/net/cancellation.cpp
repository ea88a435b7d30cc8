#include "net/cancellation.h"

#include <utility>

namespace Geraniumsail {

Cancellation::Registration::Registration(Cancellation *owner, std::list<Callback>::iterator position)
    : m_owner(owner), m_position(position)
{
}

Cancellation::Registration::Registration(Registration &&other) noexcept
    : m_owner(std::exchange(other.m_owner, nullptr)), m_position(other.m_position)
{
}

Cancellation::Registration &Cancellation::Registration::operator=(Registration &&other) noexcept
{
    if (this != &other) {
        reset();
        m_owner = std::exchange(other.m_owner, nullptr);
        m_position = other.m_position;
    }
    return *this;
}

Cancellation::Registration::~Registration()
{
    reset();
}

void Cancellation::Registration::reset()
{
    if (m_owner != nullptr) {
        m_owner->m_callbacks.erase(m_position);
        m_owner = nullptr;
    }
}

void Cancellation::cancel()
{
    if (m_cancelled) {
        return;
    }
    m_cancelled = true;
    // A callback may remove other registrations but not its own, so the copy is called and emptied one by one.
    for (auto &callback : m_callbacks) {
        const auto call = std::exchange(callback, nullptr);
        if (call) {
            call();
        }
    }
}

bool Cancellation::isCancelled() const
{
    return m_cancelled;
}

Cancellation::Registration Cancellation::onCancel(Callback callback)
{
    m_callbacks.push_back(std::move(callback));
    return {this, std::prev(m_callbacks.end())};
}

} // namespace Geraniumsail
