package io.quetzalfield.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListedInstance
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.util.concurrent.TimeUnit

private val JSON_MEDIA_TYPE = "application/json".toMediaType()
private const val CALL_TIMEOUT_SECONDS = 3L

private fun shortCallClient(client: OkHttpClient): OkHttpClient =
    client.newBuilder().callTimeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS).build()

private fun OkHttpClient.fetch(request: Request): Either<String, String> = try {
    newCall(request).execute().use { response ->
        val text = response.body.string()
        if (response.isSuccessful) text.right() else "${request.url} answered ${response.code}".left()
    }
} catch (error: IOException) {
    "${request.url}: ${error.message}".left()
}

private fun <T> decode(text: String, read: (String) -> T): Either<String, T> = try {
    read(text).right()
} catch (error: SerializationException) {
    "malformed response: ${error.message}".left()
}

private fun jsonBody(text: String): RequestBody = text.toRequestBody(JSON_MEDIA_TYPE)

/** The platform's list of instances over HTTP at [address]. */
public class HttpInstanceDirectory(private val address: String, client: OkHttpClient = OkHttpClient()) :
    InstanceDirectory {
    private val client = shortCallClient(client)
    private val listSerializer = ListSerializer(ListedInstance.serializer())

    override fun instances(): Either<DirectoryError, List<ListedInstance>> {
        val answer = client.fetch(Request.Builder().url("$address/v1/instances").build())
        return when (answer) {
            is Either.Left -> DirectoryError(answer.value).left()

            is Either.Right -> decode(answer.value) { PlatformJson.decodeFromString(listSerializer, it) }
                .mapLeft(::DirectoryError)
        }
    }

    override fun announce(instance: ListedInstance): Either<DirectoryError, Unit> {
        val body = jsonBody(PlatformJson.encodeToString(ListedInstance.serializer(), instance))
        val request = Request.Builder().url("$address/v1/instances/${instance.id.value}").put(body).build()
        return client.fetch(request).map { }.mapLeft(::DirectoryError)
    }

    override fun remove(instance: InstanceId): Either<DirectoryError, Unit> {
        val request = Request.Builder().url("$address/v1/instances/${instance.value}").delete().build()
        return client.fetch(request).map { }.mapLeft(::DirectoryError)
    }
}

/** The platform's rating service over HTTP at [address]. */
public class HttpRatingService(private val address: String, client: OkHttpClient = OkHttpClient()) : RatingService {
    private val client = shortCallClient(client)
    private val listSerializer = ListSerializer(Rating.serializer())

    override fun submit(answer: AnswerToRate): Either<RatingError, Unit> {
        val body = jsonBody(PlatformJson.encodeToString(AnswerToRate.serializer(), answer))
        return client.fetch(Request.Builder().url("$address/v1/ratings").post(body).build())
            .map { }
            .mapLeft(::RatingError)
    }

    override fun ratingsAfter(position: Long): Either<RatingError, List<Rating>> {
        val answer = client.fetch(Request.Builder().url("$address/v1/ratings?after=$position").build())
        return when (answer) {
            is Either.Left -> RatingError(answer.value).left()

            is Either.Right -> decode(answer.value) { PlatformJson.decodeFromString(listSerializer, it) }
                .mapLeft(::RatingError)
        }
    }
}
