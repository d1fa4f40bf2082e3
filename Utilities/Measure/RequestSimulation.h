#pragma once

#include <Kernel/Request/RequestKernel.h>
#include <LibBase/Random.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace Peridot {

/// Offered load of one service.
struct SimulatedService
{
    std::string name;
    Duration meanTime{0}; ///< execution in a backend server
    double rate = 0; ///< requests a second over all entry processes
    double floodRate = 0; ///< instead of rate during the flood
    Urgency urgency = Urgency::Normal;
    Urgency floodUrgency = Urgency::Normal;
    Duration deadline = std::chrono::seconds(2);
    unsigned firstServer = 0;
    unsigned servers = 0; ///< backend servers that serve it, from the first on; 0: all
};

struct SimulationSettings
{
    std::vector<SimulatedService> services;
    unsigned entryProcesses = 7;
    unsigned backendServers = 50;
    unsigned slots = 8;
    std::string admissionPolicy = "fair-share";
    std::string routingPolicy = "lent-slots";
    RetryBudgetSettings retries;
    Duration peerDelay = std::chrono::milliseconds(1); ///< one way, between any two processes
    Duration storeDelay = std::chrono::milliseconds(4);
    double nonIdempotentPart = 0.05;
    double firstProcessPart
        = 0; ///< part of the load that reaches the first entry process; 0: equal
    Duration warmUp = std::chrono::seconds(2);
    Duration measured = std::chrono::seconds(10); ///< the flood lasts as long
    int failingServer = -1; ///< answers each request with status 500 after 1 ms
    Duration leaseTime = std::chrono::hours(24); ///< renewed at each third of it
    std::uint64_t seed = 1;
};

/// Figures of one service, for requests that arrived in the measured time.
struct SimulatedResult
{
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0; ///< with success, within the deadline
    std::vector<double> seconds; ///< from arrival to answer
};

/// End of one request, as its caller sees it.
struct SimulatedEnd
{
    unsigned service = 0;
    bool idempotent = false;
    bool good = false; ///< answered with success, within the deadline
    TimePoint arrival;
    TimePoint time;
};

/// Drives request kernels in virtual time with seeded backend servers, callers, store and peer
/// link. The same seed gives the same run; the arrivals of a service depend on the seed and on its
/// own rate alone.
class RequestSimulation
{
public:
    explicit RequestSimulation(SimulationSettings settings);

    void run();
    /// Runs the events up to \a end. Load is generated from the start.
    void runUntil(TimePoint end);

    // Faults
    /// Delays of the copies of a peer message that arrive; none when it is lost.
    std::function<std::vector<Duration>()> peerLink;
    /// Called after each event.
    std::function<void()> afterEvent;
    /// Asked when an attempt reaches its backend server: how it fails at once, or nothing.
    std::function<std::optional<AttemptStatus>(unsigned service, unsigned server)> attemptFault;
    std::function<void(const SimulatedEnd &)> requestEnded;
    void crash(unsigned entry);
    /// Gives each running process a view without crashed ones and those whose lease has ended.
    void changeView();
    void freeze(unsigned entry, Duration time);
    /// Starts another entry process. It takes part from the next view on.
    unsigned join();
    /// Stops the process gracefully. It leaves, and the view changes, when it has nothing open.
    void stop(unsigned entry);
    void serverLeaving(unsigned server);

    TimePoint now() const { return m_now; }
    TimePoint start() const;
    unsigned entryCount() const { return static_cast<unsigned>(m_entries.size()); }
    bool running(unsigned entry) const { return m_entries[entry].kernel != nullptr; }
    /// Whether the process was removed from the view because its lease had ended.
    bool lapsed(unsigned entry) const { return m_entries[entry].lapsed; }
    TimePoint leaseEnd(unsigned entry) const { return m_entries[entry].leaseEnd; }
    const RequestKernel &kernel(unsigned entry) const { return *m_entries[entry].kernel; }
    std::uint64_t events() const { return m_events; }

    // Figures
    std::vector<SimulatedResult> results;
    std::vector<double> waits; ///< seconds from arrival to execution, measured requests
    double busySlots() const; ///< mean part of the slots held by attempts in the measured time
    double idleWhileWaiting() const; ///< mean part of the slots idle while requests wait
    unsigned largestOverbooking() const { return m_largestOverbooking; }
    std::uint64_t peerMessages() const { return m_peerMessages; }
    std::uint64_t attemptsAt(unsigned server) const { return m_servers[server].attempts; }
    std::uint64_t attempts() const { return m_attemptCount; }

private:
    struct Entry
    {
        std::string instance;
        std::unique_ptr<RequestKernel> kernel;
        TimePoint frozenUntil;
        TimePoint leaseEnd;
        bool lapsed = false; ///< removed from the view
        bool stopping = false;
        unsigned idleTicks = 0; ///< since it stopped with nothing open
        std::vector<std::function<void()>> held; ///< events that arrive while it is frozen
    };

    struct Attempt
    {
        unsigned entry;
        std::uint64_t number;
        RequestToken token;
        unsigned server;
        TimePoint deadline;
    };

    struct Server
    {
        std::string name;
        unsigned executing = 0;
        std::uint64_t attempts = 0;
        std::queue<Attempt> waiting;
    };

    struct Call
    {
        unsigned service;
        unsigned entry;
        TimePoint arrival;
        TimePoint deadline;
        bool waiting = true; ///< no attempt was started yet
        bool measured = false;
        bool idempotent = true;
        bool failed = false; ///< the backend server answered with an error
    };

    struct Event
    {
        TimePoint time;
        std::uint64_t order;
        std::function<void()> run;
        bool operator>(const Event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    void at(TimePoint time, std::function<void()> run);
    /// Runs \a run now, or when the process is no longer frozen.
    void deliver(unsigned entry, std::function<void()> run);
    bool isMeasured(TimePoint time) const;
    void makeTable();
    unsigned createEntry();
    void renewLease(unsigned entry);
    void arrive(unsigned service);
    void scheduleArrival(unsigned service);
    void tick(unsigned entry);
    void sample();
    void take(unsigned entry);
    void act(unsigned entry, const StartAttempt &action);
    void act(unsigned entry, const ReadClaim &action);
    void act(unsigned entry, const CommitClaim &action);
    void act(unsigned entry, const AnswerRequest &action);
    void act(unsigned entry, const SendPeerMessage &action);
    void attemptArrived(Attempt attempt);
    void execute(Attempt attempt);

    const SimulationSettings m_settings;
    std::shared_ptr<RoutingTable> m_table;
    TimePoint m_now;
    std::uint64_t m_order = 0;
    std::uint64_t m_events = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_queue;
    std::vector<Entry> m_entries;
    std::vector<Server> m_servers;
    std::map<std::string, unsigned> m_serverIndex;
    std::map<std::string, unsigned> m_entryIndex;
    std::vector<RandomSource> m_arrivalRandom; ///< by service
    RandomSource m_random;
    std::unordered_map<RequestToken, Call> m_calls;
    std::map<std::string, Row> m_rows;
    Version m_revision = 0;
    RequestToken m_lastToken = 0;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_waiting = 0;
    std::uint64_t m_outstanding = 0;
    std::uint64_t m_attemptCount = 0;
    std::uint64_t m_peerMessages = 0;
    unsigned m_largestOverbooking = 0;
    std::uint64_t m_samples = 0;
    double m_busySum = 0;
    double m_idleSum = 0;
};

} // namespace Peridot
