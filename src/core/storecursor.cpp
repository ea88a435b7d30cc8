#include "core/storecursor.h"

namespace Geraniumsail {

void StoreCursor::onRead(std::uint64_t revision)
{
    m_position = revision;
    m_hasContinued = false;
}

void StoreCursor::onChanges(std::uint64_t revision)
{
    m_position = revision;
    m_hasContinued = true;
    m_pause = MinPause;
}

Duration StoreCursor::onFailure(Duration maxPause, Random &random)
{
    m_position.reset();
    return nextBackoff(m_pause, maxPause, random);
}

Duration StoreCursor::onFailureInStatedHistory(Duration maxPause, Random &random)
{
    return nextBackoff(m_pause, maxPause, random);
}

Duration StoreCursor::onHistoryGone(Duration maxPause, Random &random)
{
    m_position.reset();
    const bool isRepeated = !m_hasContinued;
    m_hasContinued = false;
    return isRepeated ? nextBackoff(m_pause, maxPause, random) : Duration(0);
}

} // namespace Geraniumsail
