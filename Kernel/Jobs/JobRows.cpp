#include <Kernel/Jobs/JobRows.h>

#include "RecordFields.h"
#include <LibBase/Json.h>
#include <LibBase/JsonWriter.h>
#include <algorithm>
#include <charconv>
#include <cmath>

namespace Peridot::Jobs {

namespace {

// The visit functions list the members of a record once, for RecordWriter and RecordReader.

template <typename Visitor, typename Step>
void visitStep(Visitor &visitor, Step &step)
{
    visitor.member("count", step.count);
    visitor.member("milli_processors", step.size.milliProcessors);
    visitor.member("megabytes", step.size.megabytes);
    visitor.member("accelerators", step.size.accelerators);
    visitor.member("estimated_ms", step.estimatedRuntime);
    visitor.member("after", step.after);
    visitor.member("saves_progress", step.savesCheckpoints);
    visitor.member("gang", step.gang);
    visitor.member("same_rack", step.sameRack);
    visitor.member("speculative", step.speculative);
    visitor.member("long_running", step.longRunning);
    visitor.member("fills", step.bestEffort);
    visitor.member("required_label", step.requiredLabel);
    visitor.member("affinity_rack", step.affinityRack);
    visitor.member("maximum_per_worker", step.maximumPerWorker);
    visitor.member("image", step.image);
    visitor.member("latency_target_ms", step.latencyTarget);
    visitor.member("maximum_unavailable", step.maximumUnavailable);
}

/// The row stores the stretch of the queue as \a stretch, in percent.
template <typename Visitor, typename Job, typename Stretch>
void visitJob(Visitor &visitor, Job &job, Stretch &stretch)
{
    visitor.member("id", job.id);
    visitor.member("organisation", job.organisation);
    visitor.member("queue", job.queue.name);
    visitor.member("pool", job.queue.pool);
    visitor.member("priority", job.queue.priority);
    visitor.member("attempts", job.queue.maximumAttempts);
    visitor.member("allowance_ms", job.queue.latencyAllowance);
    visitor.member("advice_validity_ms", job.queue.adviceValidity);
    visitor.member("accepted_ms", job.acceptedAt);
    visitor.member("stretch_percent", stretch);
    visitor.member("payload", job.specification.payload);
    visitor.member("occurrences", job.specification.occurrences);
    visitor.member("first_due_ms", job.specification.firstDue);
    visitor.member("interval_ms", job.specification.interval);
}

template <typename Visitor, typename Task>
void visitTask(Visitor &visitor, Task &task)
{
    visitor.member("done", task.done);
    visitor.member("failed_runs", task.failedRuns);
    visitor.member("saved", task.checkpoint);
    visitor.member("run", task.run);
    visitor.member("worker", task.worker);
}

// A progress row is written with nearly each start and end of a run, so that it is written as text.
// The members are in the order of their names, as in the rows of RecordWriter.

void writeTask(JsonWriter &writer, const TaskProgress &task)
{
    writer.beginObject();
    if (task.done)
        writer.member("done", true);
    if (!task.failedRuns.empty()) {
        writer.name("failed_runs").beginArray();
        for (const std::uint64_t run : task.failedRuns)
            writer.value(run);
        writer.endArray();
    }
    if (task.run != 0)
        writer.member("run", task.run);
    if (!task.checkpoint.empty())
        writer.member("saved", task.checkpoint);
    if (!task.worker.empty())
        writer.member("worker", task.worker);
    writer.endObject();
}

void writeOccurrence(JsonWriter &writer, const OccurrenceProgress &occurrence)
{
    writer.beginObject().member("number", occurrence.occurrence).name("steps").beginArray();
    for (const auto &step : occurrence.steps) {
        writer.beginArray();
        for (const TaskProgress &task : step)
            writeTask(writer, task);
        writer.endArray();
    }
    writer.endArray().endObject();
}

Result<TaskProgress> parseTask(const Json::Value &value)
{
    if (!value.isObject())
        return makeError(ErrorCode::ProtocolViolation, "tasks");
    TaskProgress task;
    RecordReader reader(value);
    visitTask(reader, task);
    if (!reader.invalid().empty())
        return makeError(ErrorCode::ProtocolViolation, reader.invalid());
    return task;
}

Result<OccurrenceProgress> parseOccurrence(const Json::Value &value)
{
    if (!value.isObject() || !value["number"].isUInt() || !value["steps"].isArray())
        return makeError(ErrorCode::ProtocolViolation, "occurrences");
    OccurrenceProgress occurrence;
    occurrence.occurrence = value["number"].asUInt();
    for (const auto &step : value["steps"]) {
        if (!step.isArray())
            return makeError(ErrorCode::ProtocolViolation, "steps");
        auto &tasks = occurrence.steps.emplace_back();
        for (const auto &entry : step) {
            BOOST_LEAF_AUTO(task, parseTask(entry));
            tasks.push_back(std::move(task));
        }
    }
    return occurrence;
}

} // namespace

std::string jobKey(std::string_view id)
{
    return std::string(jobPrefix) + std::string(id);
}

std::string cancellationKey(std::string_view id)
{
    return jobKey(id) + std::string(cancellationSuffix);
}

std::string tombstoneKey(std::string_view id)
{
    return jobKey(id) + std::string(tombstoneSuffix);
}

std::string progressKey(std::string_view id)
{
    return std::string(progressPrefix) + std::string(id);
}

std::string finishedKey(std::string_view id)
{
    return std::string(finishedPrefix) + std::string(id);
}

unsigned jobPartition(std::string_view id)
{
    unsigned digit = 0;
    const std::string_view first = id.substr(0, 1);
    constexpr int hexadecimal = 16;
    std::from_chars(first.data(), first.data() + first.size(), digit, hexadecimal);
    return digit % jobPartitions;
}

std::string encodePendingCounts(const PendingCounts &counts)
{
    Json::Value object(Json::objectValue);
    object["store_ms"] = static_cast<Json::Int64>(counts.storeMilliseconds);
    object["queues"] = Json::Value(Json::objectValue);
    for (const auto &[queue, count] : counts.byQueue)
        object["queues"][queue] = count;
    return writeJson(object);
}

Result<PendingCounts> parsePendingCounts(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseJson(text));
    if (!object.isObject() || !object["store_ms"].isInt64() || !object["queues"].isObject())
        return makeError(ErrorCode::ProtocolViolation, "pending");
    PendingCounts counts;
    counts.storeMilliseconds = object["store_ms"].asInt64();
    for (const std::string &queue : object["queues"].getMemberNames()) {
        if (!object["queues"][queue].isUInt())
            return makeError(ErrorCode::ProtocolViolation, "queues");
        counts.byQueue[queue] = object["queues"][queue].asUInt();
    }
    return counts;
}

std::string encodeSubmittedJob(const SubmittedJob &job)
{
    RecordWriter writer;
    const auto stretch = static_cast<std::int64_t>(std::lround(job.queue.stretch * 100));
    visitJob(writer, job, stretch);
    Json::Value object = writer.take();
    for (const auto &step : job.specification.steps) {
        RecordWriter stepWriter;
        visitStep(stepWriter, step);
        object["steps"].append(stepWriter.take());
    }
    return writeJson(object);
}

Result<SubmittedJob> parseSubmittedJob(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseJson(text));
    if (!object.isObject() || !object["steps"].isArray())
        return makeError(ErrorCode::ProtocolViolation, "steps");
    SubmittedJob job;
    RecordReader reader(object);
    std::int64_t stretch = 100;
    visitJob(reader, job, stretch);
    job.queue.stretch = static_cast<double>(stretch) / 100;
    for (const auto &entry : object["steps"]) {
        if (!entry.isObject())
            return makeError(ErrorCode::ProtocolViolation, "steps");
        RecordReader stepReader(entry);
        auto &step = job.specification.steps.emplace_back();
        visitStep(stepReader, step);
        if (!stepReader.invalid().empty())
            return makeError(ErrorCode::ProtocolViolation, stepReader.invalid());
    }
    if (!reader.invalid().empty() || job.id.empty())
        return makeError(ErrorCode::ProtocolViolation, reader.invalid());
    return job;
}

std::string encodeJobProgress(const JobProgress &progress)
{
    JsonWriter writer;
    writer.beginObject().member("changed_ms", toUnixMilliseconds(progress.changedAt));
    // A list, because rows of earlier versions name all finished occurrences.
    if (progress.lastFinishedOccurrence)
        writer.name("finished").beginArray().value(*progress.lastFinishedOccurrence).endArray();
    if (!progress.occurrences.empty()) {
        writer.name("occurrences").beginArray();
        for (const OccurrenceProgress &occurrence : progress.occurrences)
            writeOccurrence(writer, occurrence);
        writer.endArray();
    }
    if (!progress.organisation.empty())
        writer.member("organisation", progress.organisation);
    writer.member("phase", jobPhaseNames.nameOf(progress.phase)).endObject();
    return writer.take();
}

Result<JobProgress> parseJobProgress(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseJson(text));
    if (!object.isObject() || !object["phase"].isString())
        return makeError(ErrorCode::ProtocolViolation, "phase");
    const auto phase = jobPhaseNames.valueOf(object["phase"].asString());
    if (!phase)
        return makeError(ErrorCode::ProtocolViolation, "phase");
    JobProgress progress;
    progress.phase = *phase;
    RecordReader reader(object);
    reader.member("changed_ms", progress.changedAt);
    reader.member("organisation", progress.organisation);
    std::vector<unsigned> finished;
    reader.member("finished", finished);
    if (!finished.empty())
        progress.lastFinishedOccurrence = *std::max_element(finished.begin(), finished.end());
    if (!reader.invalid().empty())
        return makeError(ErrorCode::ProtocolViolation, reader.invalid());
    const Json::Value &occurrences = object["occurrences"];
    if (!occurrences.isNull() && !occurrences.isArray())
        return makeError(ErrorCode::ProtocolViolation, "occurrences");
    for (const auto &entry : occurrences) {
        BOOST_LEAF_AUTO(occurrence, parseOccurrence(entry));
        progress.occurrences.push_back(std::move(occurrence));
    }
    return progress;
}

} // namespace Peridot::Jobs
