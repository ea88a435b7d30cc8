// The body of POST /geraniumsail/announce, by which an upstream tells its node about itself.
#ifndef GERANIUMSAIL_NODE_ANNOUNCEMENT_H
#define GERANIUMSAIL_NODE_ANNOUNCEMENT_H

#include "node/policymessages.h"

#include <boost/system/result.hpp>

#include <string>

namespace Geraniumsail {

/// The announcement, or what is wrong with the text. Unknown fields are refused, so that a misspelt limit is noticed.
boost::system::result<Announcement, std::string> parseAnnouncement(const std::string &text);

} // namespace Geraniumsail

#endif
