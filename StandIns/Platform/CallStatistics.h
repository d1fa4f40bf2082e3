#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <json/value.h>
#include <map>
#include <string>

namespace Peridot {

/// Counts reads, writes and refusals, in total and by client.
class CallStatistics
{
public:
    void countRead(TimePoint now, const std::string &client, double cost);
    void countWrite(TimePoint now, const std::string &client, double cost);
    void countOther(const std::string &client);
    /// A call above the rate cap.
    void countRefusal(const std::string &client);
    void reset() { *this = {}; }

    /// Members: total and clients, each with reads, writes, other and refused; the highest reads
    /// and writes in one second.
    Json::Value toJson() const;

private:
    struct Counts
    {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t other = 0;
        std::uint64_t refused = 0;
    };
    /// Calls in the current second and the most in any second.
    struct Peak
    {
        std::int64_t second = 0;
        std::uint64_t current = 0;
        std::uint64_t highest = 0;

        void count(TimePoint now, std::uint64_t cost);
    };

    static Json::Value toJson(const Counts &counts);

    Counts m_total;
    std::map<std::string, Counts> m_clients;
    Peak m_readPeak;
    Peak m_writePeak;
};

} // namespace Peridot
