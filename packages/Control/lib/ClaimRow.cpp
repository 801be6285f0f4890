// Stores a row as one line of text, so that operators can read the table.
#include "ClaimRow.h"

#include <fmt/format.h>
#include <sstream>

namespace lentilbay {
namespace {

constexpr auto formatTag = "claim1";
constexpr auto noAddress = "-";

} // namespace

std::string printClaimRow(const ClaimRow& row)
{
    return fmt::format("{} {} {} {} {} {} {} {}", formatTag, row.daemon.text(),
        row.address.empty() ? noAddress : row.address, row.incarnation, row.nonce, row.bodyHash,
        row.request.text(), row.claimedAt.time_since_epoch().count());
}

std::optional<ClaimRow> parseClaimRow(const std::string& text)
{
    std::istringstream in(text);
    std::string tag;
    std::string daemon;
    std::string address;
    std::string request;
    Duration::rep claimedAt = 0;
    ClaimRow row;
    in >> tag >> daemon >> address >> row.incarnation >> row.nonce >> row.bodyHash >> request >> claimedAt;
    if (in.fail() || tag != formatTag)
        return std::nullopt;
    row.daemon = DaemonId(daemon);
    row.address = address == noAddress ? "" : address;
    row.request = RequestId(request);
    row.claimedAt = WallTimePoint(Duration(claimedAt));
    return row;
}

} // namespace lentilbay
