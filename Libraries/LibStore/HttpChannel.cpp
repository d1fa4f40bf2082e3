#include <LibStore/HttpChannel.h>

#include <curl/curl.h>
#include <utility>

namespace Peridot {

namespace {

// The loop is woken for new requests; this only bounds the effect of a missed wake-up.
constexpr int pollMilliseconds = 1000;
constexpr std::size_t idleHandleLimit = 64;

void initialiseLibrary()
{
    static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(result);
}

long toMilliseconds(Duration duration)
{
    return static_cast<long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

struct HttpChannel::Transfer
{
    HttpRequest request;
    Callback callback;
    HttpReply reply;
    std::size_t answerLimit = 0;
    unsigned sends = 0; ///< counted by the pre-request callback
    char errorText[CURL_ERROR_SIZE] = {};

    static std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *self)
    {
        auto &transfer = *static_cast<Transfer *>(self);
        const std::size_t length = size * count;
        if (transfer.reply.body.size() + length > transfer.answerLimit)
            return 0;
        transfer.reply.body.append(data, length);
        return length;
    }

    static int beforeSend(void *self, char *, char *, int, int)
    {
        auto &transfer = *static_cast<Transfer *>(self);
        ++transfer.sends;
        if (transfer.request.sendOnce && transfer.sends > 1)
            return CURL_PREREQFUNC_ABORT;
        return CURL_PREREQFUNC_OK;
    }
};

HttpChannel::HttpChannel(HttpChannelSettings settings, CallbackExecutor executor)
    : m_settings(std::move(settings)), m_executor(std::move(executor))
{
    initialiseLibrary();
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      static_cast<long>(m_settings.connectionLimit));
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(m_settings.connectionLimit));
    curl_slist *headers = curl_slist_append(nullptr, "Content-Type: application/json");
    // Without this, libcurl delays bodies over 1 MiB until the server answers 100 Continue.
    headers = curl_slist_append(headers, "Expect:");
    if (!m_settings.instance.empty())
        headers = curl_slist_append(headers, ("Peridot-Instance: " + m_settings.instance).c_str());
    m_headers = headers;
    m_thread = std::thread([this] { runLoop(); });
}

HttpChannel::~HttpChannel()
{
    m_stopping = true;
    curl_multi_wakeup(m_multi);
    m_thread.join();
    for (void *handle : m_idleHandles)
        curl_easy_cleanup(handle);
    curl_multi_cleanup(m_multi);
    curl_slist_free_all(static_cast<curl_slist *>(m_headers));
}

void HttpChannel::send(HttpRequest request, Callback callback)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->request = std::move(request);
    transfer->callback = std::move(callback);
    transfer->answerLimit = m_settings.answerLimit;
    ++m_open;
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back(std::move(transfer));
    }
    curl_multi_wakeup(m_multi);
}

void HttpChannel::runLoop()
{
    while (!m_stopping) {
        startQueued();
        int running = 0;
        curl_multi_perform(m_multi, &running);
        finishTransfers();
        if (!m_stopping)
            curl_multi_poll(m_multi, nullptr, 0, pollMilliseconds, nullptr);
    }
    abortAll();
}

void HttpChannel::startQueued()
{
    std::deque<std::unique_ptr<Transfer>> queued;
    {
        const std::lock_guard lock(m_mutex);
        queued.swap(m_queue);
    }
    for (auto &transfer : queued)
        start(std::move(transfer));
}

void HttpChannel::start(std::unique_ptr<Transfer> transfer)
{
    if (m_active.size() >= m_settings.requestLimit) {
        transfer->reply.detail = "limit of open requests reached";
        deliver(std::move(transfer));
        return;
    }
    void *handle = takeHandle();
    configure(handle, *transfer);
    m_active[handle] = std::move(transfer);
    curl_multi_add_handle(m_multi, handle);
}

void HttpChannel::configure(void *handle, Transfer &transfer)
{
    const HttpRequest &request = transfer.request;
    curl_easy_setopt(handle, CURLOPT_URL, (m_settings.address + request.path).c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, toMilliseconds(m_settings.connectTimeout));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, toMilliseconds(m_settings.requestTimeout));
    curl_easy_setopt(handle, CURLOPT_ERRORBUFFER, transfer.errorText);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &Transfer::appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &Transfer::beforeSend);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
    if (request.method == "GET")
        return;
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
}

void *HttpChannel::takeHandle()
{
    if (m_idleHandles.empty())
        return curl_easy_init();
    void *handle = m_idleHandles.back();
    m_idleHandles.pop_back();
    curl_easy_reset(handle);
    return handle;
}

void HttpChannel::finishTransfers()
{
    int remaining = 0;
    while (CURLMsg *message = curl_multi_info_read(m_multi, &remaining)) {
        if (message->msg == CURLMSG_DONE)
            finish(message->easy_handle, message->data.result);
    }
}

void HttpChannel::finish(void *handle, int code)
{
    const auto found = m_active.find(handle);
    if (found == m_active.end())
        return;
    std::unique_ptr<Transfer> transfer = std::move(found->second);
    m_active.erase(found);
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        transfer->reply.outcome = HttpOutcome::Answered;
        transfer->reply.status = static_cast<int>(status);
    } else {
        transfer->reply.outcome
            = transfer->sends == 0 ? HttpOutcome::NotSent : HttpOutcome::MaybeSent;
        transfer->reply.detail = transfer->errorText[0] != '\0'
                                     ? transfer->errorText
                                     : curl_easy_strerror(static_cast<CURLcode>(code));
    }
    curl_multi_remove_handle(m_multi, handle);
    if (m_idleHandles.size() < idleHandleLimit)
        m_idleHandles.push_back(handle);
    else
        curl_easy_cleanup(handle);
    deliver(std::move(transfer));
}

void HttpChannel::deliver(std::unique_ptr<Transfer> transfer)
{
    --m_open;
    if (!m_executor) {
        transfer->callback(transfer->reply);
        return;
    }
    m_executor([callback = std::move(transfer->callback), reply = std::move(transfer->reply)] {
        callback(reply);
    });
}

void HttpChannel::abortAll()
{
    while (!m_active.empty())
        finish(m_active.begin()->first, CURLE_ABORTED_BY_CALLBACK);
    std::deque<std::unique_ptr<Transfer>> queued;
    {
        const std::lock_guard lock(m_mutex);
        queued.swap(m_queue);
    }
    for (auto &transfer : queued) {
        transfer->reply.detail = "channel is closing";
        deliver(std::move(transfer));
    }
}

} // namespace Peridot
