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

/** An in-memory list of instances. While [isFrozen], it returns its contents from before the freeze. */
public class InMemoryInstanceDirectory : InstanceDirectory {
    private val listed = ConcurrentHashMap<InstanceId, ListedInstance>()
    private var frozenView: List<ListedInstance>? = null

    /** While `true`, every call fails. */
    @Volatile
    public var isDown: Boolean = false

    /** Whether reads return the list as it was when this was set, without later changes. */
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
        if (isDown) DirectoryError("the list of instances is down").left() else action().right()
}

/** An in-memory rating service that rates each answer by [rate] on submission; `null` means no rating. */
public class InMemoryRatingService(private val rate: (AnswerToRate) -> Boolean? = { true }) : RatingService {
    private val ratings = mutableListOf<Rating>()

    /** While `true`, every call fails. */
    @Volatile
    public var isDown: Boolean = false

    override fun submit(answer: AnswerToRate): Either<RatingError, Unit> = synchronized(ratings) {
        if (isDown) return@synchronized RatingError("the rating service is down").left()
        val passed = rate(answer) ?: return@synchronized Unit.right()
        ratings += Rating(ratings.size + 1L, answer.attempt, answer.source, answer.kind, passed)
        Unit.right()
    }

    override fun ratingsAfter(position: Long): Either<RatingError, List<Rating>> = synchronized(ratings) {
        if (isDown) RatingError("the rating service is down").left() else ratings.drop(position.toInt()).right()
    }
}
