#include "BackendTransfer.h"

#include <charconv>

namespace Peridot {

namespace {

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty()
           && (text.back() == ' ' || text.back() == '\t' || text.back() == '\r'
               || text.back() == '\n'))
        text.remove_suffix(1);
    return text;
}

bool flagSet(const HttpHeaders &headers, std::string_view name)
{
    const std::string *value = findHeader(headers, name);
    return value != nullptr && *value == "1";
}

} // namespace

BackendTransfer::BackendTransfer(const BackendClientSettings &settings)
    : m_settings(settings), m_easy(curl_easy_init())
{
    setConstantOptions();
}

BackendTransfer::~BackendTransfer()
{
    curl_easy_cleanup(m_easy);
    curl_slist_free_all(m_headerList);
}

void BackendTransfer::prepare(BackendRequest request, BackendClient::Callback callback)
{
    m_request = std::move(request);
    m_callback = std::move(callback);
    m_answer = {};
    m_sends = 0;
    m_answerBytes = 0;
    m_headersEnded = false;
    m_delimited = false;

    const bool ipv6 = m_request.address.find(':') != std::string::npos;
    const std::string host = ipv6 ? '[' + m_request.address + ']' : m_request.address;
    const std::string url = "http://" + host + ':' + std::to_string(m_request.port) + '/';
    curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
    // The target reaches the backend server byte for byte, without normalisation by libcurl.
    curl_easy_setopt(m_easy, CURLOPT_REQUEST_TARGET, m_request.message->target.c_str());
    curl_easy_setopt(m_easy, CURLOPT_FORBID_REUSE, 0L);
    // libcurl reads 0 as no limit.
    const auto timeout = std::max<std::int64_t>(m_request.timeout.count(), 1);
    curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout));
    setMethodAndBody();
    setHeaders();
}

void BackendTransfer::setConstantOptions()
{
    curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    // An empty proxy keeps libcurl from reading proxy variables of the environment.
    curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
    curl_easy_setopt(m_easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(m_easy, CURLOPT_MAXAGE_CONN,
                     static_cast<long>(m_settings.idleConnectionTimeout.count()));
    curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(m_settings.connectTimeout.count()));
    curl_easy_setopt(m_easy, CURLOPT_PREREQFUNCTION, &BackendTransfer::onBeforeRequest);
    curl_easy_setopt(m_easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &BackendTransfer::onHeader);
    curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &BackendTransfer::onBody);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
}

void BackendTransfer::setMethodAndBody()
{
    const RequestMessage &message = *m_request.message;
    const bool hasBody = !message.body.empty();
    // A GET without a body undoes what the method of an earlier request has set.
    curl_easy_setopt(m_easy, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, nullptr);
    if (message.method == "HEAD") {
        curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (hasBody || message.method == "POST" || message.method == "PUT"
        || message.method == "PATCH") {
        const std::size_t size = hasBody ? message.body.size() : 0;
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(size));
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, hasBody ? message.body.data() : "");
    }
    if (message.method != "GET" || hasBody)
        curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, message.method.c_str());
}

void BackendTransfer::setHeaders()
{
    curl_slist_free_all(m_headerList);
    m_headerList = nullptr;
    std::string line;
    const auto append = [&] {
        m_headerList = curl_slist_append(m_headerList, line.c_str());
    };
    for (const auto &header : m_request.message->headers) {
        if (isHopByHopHeader(header.name) || equalHeaderNames(header.name, "Content-Length"))
            continue;
        // libcurl takes "Name:" as a request to omit the header; "Name;" sends it empty.
        line = header.value.empty() ? header.name + ';' : header.name + ": " + header.value;
        append();
    }
    // Headers that libcurl would add on its own.
    for (const char *name : {"Accept", "Content-Type", "Expect"}) {
        if (findHeader(m_request.message->headers, name) == nullptr
            || std::string_view(name) == "Expect") {
            line = std::string(name) + ':';
            append();
        }
    }
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headerList);
}

int BackendTransfer::onBeforeRequest(void *self, char *, char *, int, int)
{
    auto &transfer = *static_cast<BackendTransfer *>(self);
    if (transfer.m_settings.maySend && !transfer.m_settings.maySend())
        return CURL_PREREQFUNC_ABORT;
    ++transfer.m_sends;
    return transfer.m_sends == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

std::size_t BackendTransfer::onHeader(char *data, std::size_t, std::size_t size, void *self)
{
    auto &transfer = *static_cast<BackendTransfer *>(self);
    transfer.m_answerBytes += size;
    if (transfer.m_answerBytes > transfer.m_settings.maximumAnswerBytes)
        return 0;
    transfer.headerLine(std::string_view(data, size));
    return size;
}

std::size_t BackendTransfer::onBody(char *data, std::size_t, std::size_t size, void *self)
{
    auto &transfer = *static_cast<BackendTransfer *>(self);
    transfer.m_answerBytes += size;
    if (transfer.m_answerBytes > transfer.m_settings.maximumAnswerBytes)
        return 0;
    transfer.m_answer.body.append(data, size);
    return size;
}

void BackendTransfer::headerLine(std::string_view line)
{
    // A new status line follows an interim response (1xx), whose headers are dropped.
    if (line.substr(0, 5) == "HTTP/") {
        m_answer.headers.clear();
        m_answer.httpStatus = 0;
        m_headersEnded = false;
        m_delimited = false;
        const auto space = line.find(' ');
        if (space != std::string_view::npos)
            std::from_chars(line.data() + space + 1, line.data() + line.size(),
                            m_answer.httpStatus);
        return;
    }
    const auto colon = line.find(':');
    if (trimmed(line).empty()) {
        m_headersEnded = true;
        return;
    }
    // Trailers after a chunked body are not passed on.
    if (m_headersEnded || colon == std::string_view::npos)
        return;
    const std::string_view name = trimmed(line.substr(0, colon));
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (equalHeaderNames(name, "Content-Length")) {
        m_delimited = true;
    } else if (equalHeaderNames(name, "Transfer-Encoding")) {
        m_delimited = equalHeaderNames(value, "chunked");
    } else if (!isHopByHopHeader(name)) {
        m_answer.headers.push_back({std::string(name), std::string(value)});
    }
}

BackendAnswer BackendTransfer::finish(CURLcode code)
{
    m_answer.status = classify(code);
    m_answer.leaving = flagSet(m_answer.headers, "Peridot-Leaving");
    if (code != CURLE_OK)
        m_answer.detail = curl_easy_strerror(code);
    m_request = {};
    return std::move(m_answer);
}

AttemptStatus BackendTransfer::classify(CURLcode code) const
{
    if (code == CURLE_OK)
        return classifyAnswer();
    if (m_sends == 0)
        return AttemptStatus::NotSent;
    if (code == CURLE_OPERATION_TIMEDOUT)
        return AttemptStatus::TimedOut;
    return m_answer.httpStatus != 0 && m_sends == 1 ? AttemptStatus::Truncated
                                                    : AttemptStatus::ConnectionLost;
}

AttemptStatus BackendTransfer::classifyAnswer() const
{
    const int status = m_answer.httpStatus;
    const bool bodyless = m_request.message->method == "HEAD" || status == 204 || status == 304;
    // A body that ends with the connection cannot be told from a truncated one.
    if (!m_delimited && !bodyless)
        return AttemptStatus::Truncated;
    const std::string *echo = findHeader(m_answer.headers, "Request-Id");
    if (echo != nullptr && !m_request.requestId.empty() && *echo != m_request.requestId)
        return AttemptStatus::ConnectionLost;
    if (status == 503 && flagSet(m_answer.headers, "Peridot-Refused"))
        return AttemptStatus::Refused;
    return AttemptStatus::Answered;
}

} // namespace Peridot
