// Tells the work of one request that its result is no longer wanted.
//
// The server cancels when the caller closed its connection; a client exchange that was given the same object then
// closes its own connection. All calls are made on the one thread of the process.
#ifndef GERANIUMSAIL_NET_CANCELLATION_H
#define GERANIUMSAIL_NET_CANCELLATION_H

#include <functional>
#include <list>

namespace Geraniumsail {

class Cancellation
{
public:
    using Callback = std::function<void()>;

    /// Removes its callback when it is destroyed. It must not outlive the Cancellation.
    class Registration
    {
    public:
        Registration() = default;
        Registration(Registration &&other) noexcept;
        Registration &operator=(Registration &&other) noexcept;
        Registration(const Registration &) = delete;
        Registration &operator=(const Registration &) = delete;
        ~Registration();

    private:
        friend class Cancellation;
        Registration(Cancellation *owner, std::list<Callback>::iterator position);
        void reset();

        Cancellation *m_owner = nullptr;
        std::list<Callback>::iterator m_position;
    };

    Cancellation() = default;
    Cancellation(const Cancellation &) = delete;
    Cancellation &operator=(const Cancellation &) = delete;
    ~Cancellation() = default;

    /// Calls every callback once; later calls do nothing.
    void cancel();
    bool isCancelled() const;
    /// A callback registered after cancel() is not called: check isCancelled() first.
    [[nodiscard]] Registration onCancel(Callback callback);

private:
    bool m_cancelled = false;
    std::list<Callback> m_callbacks;
};

} // namespace Geraniumsail

#endif
