package io.quetzalfield.store.fakes

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.store.AnswerToRate
import io.quetzalfield.store.DirectoryError
import io.quetzalfield.store.InstanceDirectory
import io.quetzalfield.store.Rating
import io.quetzalfield.store.RatingError
import io.quetzalfield.store.RatingService
import java.util.concurrent.ConcurrentHashMap

/** A list of instances in memory. While [isFrozen], it keeps answering with what it knew before. */
public class InMemoryInstanceDirectory : InstanceDirectory {
    private val listed = ConcurrentHashMap<InstanceId, ListedInstance>()
    private var frozenView: List<ListedInstance>? = null

    /** While `true`, every call fails. */
    @Volatile
    public var isDown: Boolean = false

    /** Whether the list has stopped following changes. */
    public var isFrozen: Boolean
        get() = frozenView != null
        set(value) {
            frozenView = if (value) listed.values.toList() else null
        }

    override fun instances(): Either<DirectoryError, List<ListedInstance>> =
        answer { frozenView ?: listed.values.sortedBy { it.id.value } }

    override fun announce(instance: ListedInstance): Either<DirectoryError, Unit> =
        answer { listed[instance.id] = instance }

    override fun remove(instance: InstanceId): Either<DirectoryError, Unit> = answer { listed.remove(instance) }

    private fun <T> answer(action: () -> T): Either<DirectoryError, T> =
        if (isDown) DirectoryError("the list is down").left() else action().right()
}

/** A rating service in memory that rates an answer as soon as it is handed in, by [judge]. */
public class InMemoryRatingService(private val judge: (AnswerToRate) -> Boolean? = { true }) : RatingService {
    private val ratings = mutableListOf<Rating>()

    /** While `true`, every call fails. */
    @Volatile
    public var isDown: Boolean = false

    override fun submit(answer: AnswerToRate): Either<RatingError, Unit> = synchronized(ratings) {
        if (isDown) return@synchronized RatingError("the rating service is down").left()
        val passed = judge(answer) ?: return@synchronized Unit.right()
        ratings += Rating(ratings.size + 1L, answer.attempt, answer.source, answer.kind, passed)
        Unit.right()
    }

    override fun ratingsAfter(position: Long): Either<RatingError, List<Rating>> = synchronized(ratings) {
        if (isDown) RatingError("the rating service is down").left() else ratings.drop(position.toInt()).right()
    }
}
