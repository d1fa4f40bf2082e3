#include <Kernel/Request/RequestKernel.h>
#include <algorithm>
#include <map>

// Stand-in for the request kernel until its implementation is merged: one attempt at the first
// backend server of the service, no queue, no claims.
namespace Peridot {

namespace {

class DirectKernel : public RequestKernel
{
public:
    void routingTableChanged(TimePoint, std::shared_ptr<const RoutingTable> table) override
    {
        m_table = std::move(table);
    }
    void membersChanged(TimePoint, const EntryMembers &) override { }
    void backendServerLeaving(TimePoint, const std::string &, bool) override { }

    void requestArrived(TimePoint, const RequestDescription &request) override
    {
        std::vector<const BackendServerRoute *> servers;
        for (const auto &server : m_table->backendServers) {
            if (std::count(server.services.begin(), server.services.end(), request.service) != 0)
                servers.push_back(&server);
        }
        if (servers.empty()) {
            m_actions.push_back(AnswerRequest{request.token, Outcome::NotRun,
                                              RefusalReason::NoBackendServer, Duration(0), 0,
                                              nullptr});
            return;
        }
        const std::uint64_t attempt = ++m_attempt;
        m_open[attempt] = request.token;
        m_actions.push_back(StartAttempt{
            request.token, attempt, servers[attempt % servers.size()]->name, request.deadline});
    }
    void requestCancelled(TimePoint, RequestToken) override { }

    void attemptFinished(TimePoint, std::uint64_t attempt, AttemptStatus status,
                         std::shared_ptr<const RecordedAnswer>) override
    {
        AnswerRequest answer{m_open[attempt], Outcome::Answer, RefusalReason::None,
                             Duration(0),     attempt,         nullptr};
        m_open.erase(attempt);
        if (status == AttemptStatus::NotSent || status == AttemptStatus::Refused) {
            answer.outcome = Outcome::NotRun;
            answer.reason = RefusalReason::BackendRefused;
        } else if (status != AttemptStatus::Answered) {
            answer.outcome = Outcome::Unknown;
            answer.reason = RefusalReason::BackendConnectionLost;
        }
        m_actions.push_back(answer);
    }
    void claimRead(TimePoint, RequestToken, ReadStatus, const Row &) override { }
    void claimCommitted(TimePoint, RequestToken, const CommitResult &) override { }
    void peerMessageReceived(TimePoint, const std::string &, const std::string &) override { }
    void leaseChanged(TimePoint, TimePoint) override { }
    void tick(TimePoint) override { }
    void stopRequested(TimePoint) override { }
    std::vector<RequestAction> takeActions() override { return std::exchange(m_actions, {}); }
    std::size_t openRequests() const override { return m_open.size(); }
    std::string dumpState(TimePoint) const override { return "{}"; }

private:
    std::shared_ptr<const RoutingTable> m_table;
    std::vector<RequestAction> m_actions;
    std::map<std::uint64_t, RequestToken> m_open;
    std::uint64_t m_attempt = 0;
};

} // namespace

Result<std::unique_ptr<RequestKernel>> RequestKernel::create(const RequestKernelSettings &)
{
    return std::unique_ptr<RequestKernel>(std::make_unique<DirectKernel>());
}

} // namespace Peridot
